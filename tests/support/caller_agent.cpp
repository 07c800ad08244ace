#include "caller_agent.hpp"

#include "answer_text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace masticcourse::tests
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr auto reconnect_after = std::chrono::milliseconds{100};
constexpr unsigned percent = 100;
constexpr std::uint32_t patience_with_gathering = 20;

} // namespace

caller_agent::caller_agent(system_world& world, std::string name, agent_options options)
    : m_world(world), m_name(std::move(name)), m_options(options)
{
}

bool caller_agent::done() const
{
    return m_done;
}

const std::vector<std::string>& caller_agent::violations() const
{
    return m_violations;
}

const std::vector<seen_turn>& caller_agent::turns() const
{
    return m_turns;
}

const program_id& caller_agent::program() const
{
    return m_program;
}

std::uint64_t caller_agent::refusals() const
{
    return m_refusals;
}

std::uint64_t caller_agent::pending_lost() const
{
    return m_pending_lost;
}

core_duration caller_agent::latency() const
{
    return m_ended - m_started;
}

bool caller_agent::chance(unsigned of_hundred)
{
    return m_world.random(percent) < of_hundred;
}

void caller_agent::violate(const std::string& what)
{
    m_violations.push_back(m_name + " " + m_program.value + ": " + what);
}

void caller_agent::again(core_duration wait, std::function<void()> action)
{
    m_world.after(wait, std::move(action));
}

/// Sends a request to any entry. A request that gets no answer for long, or whose caller loses its patience,
/// counts as one whose connection broke.
void caller_agent::send(forward_request raw, std::function<void(const caller_answer&)> on_answer)
{
    const auto attempt = ++m_attempt;
    const auto once = [this, attempt, on_answer = std::move(on_answer)](const caller_answer& answer)
    {
        if (attempt == m_attempt)
        {
            ++m_attempt;
            on_answer(answer);
        }
    };
    raw.workspace = {"w1"};
    const auto number = m_world.request(m_world.random(m_world.options().entries), std::move(raw), once);
    const auto patience =
        chance(m_options.hang_up) ? core_duration{m_world.random(200'000)} : m_options.patience;
    m_world.after(patience,
                  [this, attempt, number, once]
                  {
                      if (attempt == m_attempt)
                      {
                          m_world.hang_up(number);
                          once({});
                      }
                  });
}

void caller_agent::start()
{
    m_started = m_world.now();
    create();
}

void caller_agent::create()
{
    const json body{{"budget", m_options.budget}};
    send({.method = "POST", .path = "/v1/programs", .body = body.dump(), .key = m_name},
         [this](const caller_answer& answer)
         {
             if (answer.status != status_ok && answer.status != status_created)
             {
                 again(answer.retry_after.value_or(reconnect_after), [this] { create(); });
                 return;
             }
             m_program = {json::parse(answer.body).at("program").get<std::string>()};
             next_turn();
         });
}

call_ref caller_agent::current_ref() const
{
    return {m_program, m_current->key};
}

void caller_agent::next_turn()
{
    if (m_turns.size() >= m_options.turns)
    {
        read_history();
        return;
    }
    const auto number = std::to_string(++m_keys);
    m_current =
        seen_turn{.key = {"c" + number}, .tool = chance(m_options.tool), .input = m_name + " says " + number};
    m_certainly_not_run = true;
    m_streams = !m_current->tool && chance(m_options.stream);
    send_call();
}

void caller_agent::send_call()
{
    const json body{{"service", m_current->tool ? "tool" : "model"},
                    {"input", m_current->input},
                    {"idempotent", !m_current->tool},
                    {"max_tokens", m_options.max_tokens},
                    {"after", m_turns.size()}};
    send({.method = "POST",
          .path = "/v1/programs/" + m_program.value + "/calls",
          .body = body.dump(),
          .key = m_current->key.value,
          .stream = m_streams},
         [this](const caller_answer& answer) { on_call_answer(answer); });
}

void caller_agent::on_call_answer(const caller_answer& answer)
{
    if (answer.status == 0)
    {
        m_certainly_not_run = false;
        again(reconnect_after, [this] { send_call(); });
        return;
    }
    const auto document = json::parse(answer.body);
    if (document.contains("turn"))
    {
        on_outcome(answer.body, answer.streamed);
        return;
    }
    on_refusal(answer);
}

void caller_agent::on_outcome(const std::string& body, const std::string& streamed)
{
    const auto document = json::parse(body);
    if (document.at("turn").get<std::size_t>() != m_turns.size() + 1)
    {
        violate("turn " + document.at("turn").dump() + " follows " + std::to_string(m_turns.size()));
    }
    if (document.at("key") != m_current->key.value)
    {
        violate("the answer to another call");
    }
    m_current->output = document.at("output").get<std::string>();
    m_current->unknown = document.at("ran") == "unknown";
    m_current->pending = document.at("durability") == "pending";
    if (!m_current->unknown)
    {
        check_output(m_current->output);
        if (m_streams && streamed != m_current->output)
        {
            violate("the stream gave '" + streamed + "', the outcome is '" + m_current->output + "'");
        }
    }
    if (m_current->tool && !m_current->unknown && m_world.runs_of(current_ref()) != 1)
    {
        violate("an action that ran once, by its outcome, ran " +
                std::to_string(m_world.runs_of(current_ref())) + " times");
    }
    m_turns.push_back(*std::exchange(m_current, std::nullopt));
    next_turn();
}

std::vector<std::string> caller_agent::prompt() const
{
    std::vector<std::string> segments;
    for (const auto& it : m_turns)
    {
        segments.push_back(it.input);
        segments.push_back(it.output);
    }
    segments.push_back(m_current->input);
    return segments;
}

void caller_agent::check_output(const std::string& output)
{
    const auto expected = m_current->tool ? tool_answer(current_ref(), m_current->input)
                                          : standins::completion_text(prompt(), m_options.max_tokens);
    if (output != expected)
    {
        violate("call " + m_current->key.value + " got '" + output + "' for '" + expected + "'");
    }
}

void caller_agent::on_refusal(const caller_answer& answer)
{
    ++m_refusals;
    const auto document = json::parse(answer.body);
    const bool not_run = document.at("ran") == "no";
    m_certainly_not_run = m_certainly_not_run && not_run;
    if (m_certainly_not_run && m_world.runs_of(current_ref()) > 0)
    {
        violate("'not run' for a call that ran: " + document.dump());
    }
    const auto wait = core_duration{answer.retry_after.value_or(reconnect_after)};
    const bool behind = document.at("id") == static_cast<int>(problem_id::history_not_recovered);
    m_behind = behind ? m_behind + 1 : 0;
    if (m_behind > patience_with_gathering)
    {
        again(wait, [this] { fall_back(); });
        return;
    }
    if (document.at("id") == static_cast<int>(problem_id::turn_out_of_order))
    {
        again(wait, [this] { catch_up(); });
        return;
    }
    if (m_certainly_not_run && chance(m_options.give_up))
    {
        m_never_run.push_back(current_ref());
        again(wait, [this] { next_turn(); });
        return;
    }
    again(wait, [this] { send_call(); });
}

/// The home never gathers the last turns: they can only be ones that were told as pending.
void caller_agent::fall_back()
{
    send({.method = "GET", .path = "/v1/programs/" + m_program.value + "/history"},
         [this](const caller_answer& answer)
         {
             if (answer.status != status_ok)
             {
                 again(answer.retry_after.value_or(reconnect_after), [this] { fall_back(); });
                 return;
             }
             drop_turns(json::parse(answer.body).at("history").size());
             send_call();
         });
}

/// The history has turns that this caller does not count: they can only be ones that it gave up.
void caller_agent::catch_up()
{
    send({.method = "GET", .path = "/v1/programs/" + m_program.value + "/history"},
         [this](const caller_answer& answer)
         {
             if (answer.status != status_ok)
             {
                 again(answer.retry_after.value_or(reconnect_after), [this] { catch_up(); });
                 return;
             }
             take_back(answer.body);
             send_call();
         });
}

void caller_agent::take_back(const std::string& history)
{
    const auto document = json::parse(history);
    const auto& turns = document.at("history");
    while (m_turns.size() < turns.size())
    {
        const auto& it = turns[m_turns.size()];
        const auto same = [&](const seen_turn& each)
        { return it.at("key") == each.key.value && it.at("output") == each.output; };
        const auto found = std::ranges::find_if(m_dropped, same);
        if (found == m_dropped.end())
        {
            violate("a turn that this caller never saw: " + it.at("key").dump());
            return;
        }
        --m_pending_lost;
        m_turns.push_back(*found);
        m_dropped.erase(found);
    }
}

void caller_agent::drop_turns(std::size_t known)
{
    while (m_turns.size() > known)
    {
        if (!m_turns.back().pending)
        {
            violate("the durable turn " + m_turns.back().key.value + " is lost");
        }
        ++m_pending_lost;
        m_dropped.push_back(m_turns.back());
        m_turns.pop_back();
    }
}

void caller_agent::read_history()
{
    send({.method = "GET", .path = "/v1/programs/" + m_program.value + "/history"},
         [this](const caller_answer& answer)
         {
             if (answer.status != status_ok)
             {
                 again(answer.retry_after.value_or(reconnect_after), [this] { read_history(); });
                 return;
             }
             check_history(answer.body);
             end();
         });
}

void caller_agent::check_history(const std::string& body)
{
    const auto document = json::parse(body);
    const auto& history = document.at("history");
    drop_turns(history.size());
    if (history.size() != m_turns.size())
    {
        violate("the history has " + std::to_string(history.size()) + " turns, the caller saw " +
                std::to_string(m_turns.size()));
        return;
    }
    for (std::size_t n = 0; n < m_turns.size(); ++n)
    {
        const auto& it = history[n];
        if (it.at("key") != m_turns[n].key.value || it.at("output") != m_turns[n].output ||
            it.at("input") != m_turns[n].input)
        {
            violate("turn " + std::to_string(n + 1) + " of the history is not what the caller saw");
        }
    }
    if (document.at("spent").get<token_count>() > m_options.budget)
    {
        violate("spent more than the budget");
    }
}

void caller_agent::end()
{
    if (!m_options.ends_program)
    {
        m_ended = m_world.now();
        m_done = true;
        return;
    }
    send({.method = "DELETE", .path = "/v1/programs/" + m_program.value},
         [this](const caller_answer& answer)
         {
             if (answer.status != status_ok)
             {
                 again(answer.retry_after.value_or(reconnect_after), [this] { end(); });
                 return;
             }
             m_ended = m_world.now();
             m_done = true;
         });
}

void caller_agent::check_at_rest()
{
    for (const auto& it : m_never_run)
    {
        if (m_world.runs_of(it) > 0)
        {
            violate("call " + it.key.value + " was 'not run' and ran later");
        }
    }
    for (const auto& it : m_turns)
    {
        const auto runs = m_world.runs_of({m_program, it.key});
        if (it.tool && (runs > 1 || (runs == 0 && !it.unknown)))
        {
            violate("action " + it.key.value + " ran " + std::to_string(runs) + " times");
        }
    }
    if (m_world.computed_for(m_program) > m_options.budget)
    {
        violate("engines computed " + std::to_string(m_world.computed_for(m_program)) +
                " tokens over the budget");
    }
}

} // namespace masticcourse::tests
