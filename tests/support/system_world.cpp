#include "system_world.hpp"

#include "answer_text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>

namespace masticcourse::tests
{

namespace
{

constexpr std::size_t trace_length = 400;
constexpr int token_parts = 4;
const service_name model_service{"model"};
const service_name tool_service{"tool"};

const std::string& first_config()
{
    static const std::string document =
        R"({"services":{"model":{"kind":"model","idempotent_default":true,"default_deadline_ms":20000},)"
        R"("tool":{"kind":"tool","idempotent_default":false,"default_deadline_ms":20000}},)"
        R"("workspaces":{"w1":{"max_budget":1000000},"w2":{"max_budget":1000000}},)"
        R"("targets":{},"limits":{"turn_limit":100,"repeat_limit":8}})";
    return document;
}

std::pair<process_name, process_name> ordered(const process_name& a, const process_name& b)
{
    return a < b ? std::pair{a, b} : std::pair{b, a};
}

std::chrono::nanoseconds processor_time()
{
    std::timespec at{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return std::chrono::seconds{at.tv_sec} + std::chrono::nanoseconds{at.tv_nsec};
}

/// Adds the processor time of its life to a sum, if it is wanted.
class step_timer
{
  public:
    step_timer(bool wanted, std::chrono::nanoseconds& sum) : m_sum(wanted ? &sum : nullptr)
    {
        m_start = wanted ? processor_time() : std::chrono::nanoseconds{};
    }
    ~step_timer()
    {
        if (m_sum != nullptr)
        {
            *m_sum += processor_time() - m_start;
        }
    }
    step_timer(const step_timer&) = delete;
    step_timer(step_timer&&) = delete;
    step_timer& operator=(const step_timer&) = delete;
    step_timer& operator=(step_timer&&) = delete;

  private:
    std::chrono::nanoseconds* m_sum;
    std::chrono::nanoseconds m_start{};
};

} // namespace

/// One process: its core while it lives, and for a target what is beside it.
struct system_world::node
{
    process_name name;
    std::string address;
    std::size_t index = 0;
    bool is_entry = false;
    bool is_model = false;
    std::uint64_t life = 0;
    std::unique_ptr<entry_core> entry;
    std::unique_ptr<target_core> target;
    std::vector<entry_input> entry_inbox;
    std::vector<target_input> target_inbox;
    core_time frozen_until{};
    core_time wakeup{};
    link_id next_inbound = entry_core::first_inbound_link;
    target_record record;
    /// Calls at the backend, which lives on when the target process dies.
    std::map<call_ref, std::uint64_t> running;
    std::uint32_t lose_answers = 0;
    bool hangs = false;
    bool stopped = false;

    [[nodiscard]] bool alive() const
    {
        return entry != nullptr || target != nullptr;
    }
};

system_world::system_world(system_options options) : m_options(options), m_random(options.seed)
{
    const auto targets = m_options.models + m_options.tools;
    for (std::size_t n = 0; n < m_options.entries + targets; ++n)
    {
        auto made = std::make_unique<node>();
        made->is_entry = n < m_options.entries;
        made->index = made->is_entry ? n : n - m_options.entries;
        made->is_model = !made->is_entry && made->index < m_options.models;
        made->name = made->is_entry ? entry_name(made->index) : target_name(made->index);
        made->address = "10.0.0." + std::to_string(n) + ":1";
        m_nodes.push_back(std::move(made));
    }
    std::ranges::for_each(m_nodes, [&](const auto& it) { make_core(*it); });
}

system_world::~system_world() = default;

process_name system_world::entry_name(std::size_t entry) const
{
    return {"entry-" + std::to_string(entry)};
}

process_name system_world::target_name(std::size_t target) const
{
    return {(is_model(target) ? "model-" : "tool-") + std::to_string(target)};
}

bool system_world::is_model(std::size_t target) const
{
    return target < m_options.models;
}

core_time system_world::now() const
{
    return m_now;
}

const system_options& system_world::options() const
{
    return m_options;
}

standins::platform_store& system_world::store()
{
    return m_store;
}

std::uint64_t system_world::random(std::uint64_t below)
{
    return m_random() % below;
}

std::vector<known_process> system_world::all_processes() const
{
    std::vector<known_process> all;
    all.reserve(m_nodes.size());
    for (const auto& it : m_nodes)
    {
        all.push_back({.role = it->is_entry ? process_role::entry : process_role::target,
                       .name = it->name,
                       .address = it->address,
                       .service = it->is_entry   ? service_name{}
                                  : it->is_model ? model_service
                                                 : tool_service,
                       .failure_domain = {"d" + std::to_string(it->index % 3)}});
    }
    return all;
}

entry_options system_world::options_for_entry(std::size_t entry)
{
    const auto name = entry_name(entry);
    entry_options options{.name = name,
                          .incarnation = {name.value + "#" + std::to_string(++m_lives)},
                          .peer_address = m_nodes[entry]->address,
                          .seed = m_random(),
                          .shards = m_options.shards,
                          .processes = all_processes(),
                          .initial_config = first_config()};
    options.checkpoint_records = m_options.checkpoint_records;
    options.escrow_chunk = m_options.escrow_chunk;
    options.program_lease = m_options.program_lease;
    return options;
}

target_options system_world::options_for_target(std::size_t target)
{
    const auto name = target_name(target);
    target_options options{.name = name,
                           .incarnation = {name.value + "#" + std::to_string(++m_lives)},
                           .address = target_node(target).address,
                           .service = is_model(target) ? model_service : tool_service,
                           .kind = is_model(target) ? call_kind::model : call_kind::tool,
                           .cache_capacity = 100'000};
    options.first_lease = std::chrono::seconds{4};
    options.listing_period = std::chrono::seconds{1};
    return options;
}

system_world::node& system_world::target_node(std::size_t target) const
{
    return *m_nodes[m_options.entries + target];
}

void system_world::make_core(node& made)
{
    made.life = ++m_lives;
    made.stopped = false;
    made.frozen_until = m_now;
    made.wakeup = m_now;
    made.entry_inbox.clear();
    made.target_inbox.clear();
    if (made.is_entry)
    {
        made.entry = std::make_unique<entry_core>(options_for_entry(made.index));
        return;
    }
    made.target = std::make_unique<target_core>(options_for_target(made.index));
}

core_duration system_world::network_delay()
{
    return core_duration{200 + random(1500)};
}

bool system_world::is_cut(const process_name& a, const process_name& b) const
{
    return m_cuts.contains(ordered(a, b));
}

// Time

void system_world::after(core_duration time, std::function<void()> action)
{
    m_queue.push({m_now + time, ++m_order, std::move(action)});
}

void system_world::run_due(core_time until)
{
    while (true)
    {
        core_time next = core_time::max();
        node* first = nullptr;
        for (const auto& it : m_nodes)
        {
            const auto due = std::max(it->wakeup, it->frozen_until);
            if (it->alive() && due < next)
            {
                next = due;
                first = it.get();
            }
        }
        const bool event_first = !m_queue.empty() && m_queue.top().at <= next;
        next = event_first ? m_queue.top().at : next;
        if (next > until)
        {
            m_now = std::max(m_now, until);
            return;
        }
        m_now = std::max(m_now, next);
        if (!event_first)
        {
            step(*first);
            continue;
        }
        const auto action = m_queue.top().action;
        m_queue.pop();
        action();
    }
}

void system_world::run_for(core_duration time)
{
    run_due(m_now + time);
}

bool system_world::run_until(const std::function<bool()>& condition, core_duration longest)
{
    constexpr auto look = std::chrono::milliseconds{10};
    const auto until = m_now + longest;
    while (m_now < until)
    {
        if (condition())
        {
            return true;
        }
        run_for(look);
    }
    return condition();
}

void system_world::step(node& at)
{
    const auto life = at.life;
    if (at.is_entry)
    {
        const auto inputs = std::exchange(at.entry_inbox, {});
        const auto outputs = [&]
        {
            const step_timer timer(m_options.measure_cpu, m_traffic.entry_cpu);
            return at.entry->step(inputs, m_now);
        }();
        ++m_traffic.entry_steps;
        at.wakeup = std::max(at.entry->next_wakeup(), m_now + core_duration{1});
        for (const auto& it : outputs)
        {
            if (at.life == life && at.alive())
            {
                perform(at, it);
            }
        }
        return;
    }
    const auto inputs = std::exchange(at.target_inbox, {});
    const auto outputs = [&]
    {
        const step_timer timer(m_options.measure_cpu, m_traffic.target_cpu);
        return at.target->step(inputs, m_now);
    }();
    ++m_traffic.target_steps;
    at.wakeup = std::max(at.target->next_wakeup(), m_now + core_duration{1});
    for (const auto& it : outputs)
    {
        if (at.life == life && at.alive())
        {
            perform(at, it);
        }
    }
}

void system_world::perform(node& at, const entry_output& output)
{
    if (const auto* const it = std::get_if<run_store_op>(&output))
    {
        do_store(at, *it);
    }
    else if (const auto* const opened = std::get_if<open_peer>(&output))
    {
        do_open(at, *opened);
    }
    else if (const auto* const sent = std::get_if<send_peer>(&output))
    {
        do_send(at, *sent);
    }
    else if (const auto* const closed = std::get_if<close_peer>(&output))
    {
        do_close(at, *closed);
    }
    else if (const auto* const traced = std::get_if<trace_event>(&output))
    {
        do_trace(at, *traced);
    }
    else if (std::holds_alternative<ready_to_stop>(output))
    {
        at.stopped = true;
        kill_entry(at.index, false);
    }
    else
    {
        answer_callers(at, output);
    }
}

void system_world::answer_callers(node& at, const entry_output& output)
{
    const auto find_caller = [&](request_id id)
    {
        return std::ranges::find_if(
            m_callers, [&](const auto& it)
            { return it.second.entry == at.index && it.second.life == at.life && it.second.id == id; });
    };
    const auto finish = [&](auto it)
    {
        auto done = std::move(it->second);
        m_callers.erase(it);
        after(network_delay(), [done = std::move(done)] { done.on_answer(done.answer); });
    };
    if (const auto* const reply = std::get_if<caller_reply>(&output))
    {
        if (const auto it = find_caller(reply->id); it != m_callers.end())
        {
            it->second.answer.status = reply->status;
            it->second.answer.body = reply->body;
            it->second.answer.retry_after = reply->retry_after;
            it->second.answer.etag = reply->etag;
            finish(it);
        }
    }
    else if (const auto* const event = std::get_if<caller_event>(&output))
    {
        if (const auto it = find_caller(event->id); it != m_callers.end())
        {
            take_event(it->second.answer, *event);
        }
    }
    else if (const auto* const end = std::get_if<caller_end>(&output))
    {
        if (const auto it = find_caller(end->id); it != m_callers.end())
        {
            finish(it);
        }
    }
}

void system_world::take_event(caller_answer& answer, const caller_event& event)
{
    answer.last_event = event.event;
    if (event.name == "restart")
    {
        answer.streamed.clear();
    }
    else if (event.name == "token")
    {
        answer.streamed += nlohmann::json::parse(event.data).at("text").get<std::string>();
    }
    else
    {
        constexpr int status_ok = 200;
        constexpr int status_failed = 500;
        answer.status = event.name == "outcome" ? status_ok : status_failed;
        answer.body = event.data;
    }
}

void system_world::perform(node& at, const target_output& output)
{
    if (const auto* const sent = std::get_if<send_peer>(&output))
    {
        do_send(at, *sent);
    }
    else if (const auto* const closed = std::get_if<close_peer>(&output))
    {
        do_close(at, *closed);
    }
    else if (const auto* const it = std::get_if<run_store_op>(&output))
    {
        do_store(at, *it);
    }
    else if (const auto* const started = std::get_if<engine_start>(&output))
    {
        do_start(at, *started);
    }
    else if (const auto* const cancelled = std::get_if<engine_cancel>(&output))
    {
        do_cancel(at, *cancelled);
    }
    else if (const auto* const freed = std::get_if<engine_free>(&output))
    {
        at.record.held.erase(freed->program);
    }
    else if (std::holds_alternative<engine_list_request>(output))
    {
        do_list(at);
    }
    else if (const auto* const traced = std::get_if<trace_event>(&output))
    {
        do_trace(at, *traced);
    }
    else if (std::holds_alternative<ready_to_stop>(output))
    {
        at.stopped = true;
        kill_target(at.index, false);
    }
}

// Connections

system_world::node* system_world::find(const std::string& address)
{
    const auto it = std::ranges::find(m_nodes, address, [](const auto& each) { return each->address; });
    return it != m_nodes.end() ? it->get() : nullptr;
}

void system_world::take(node& to, entry_input input)
{
    if (to.is_entry)
    {
        to.entry_inbox.push_back(std::move(input));
    }
    else
    {
        const auto hand_over = [&](auto& it)
        {
            using type = std::decay_t<decltype(it)>;
            if constexpr (std::is_constructible_v<target_input, type>)
            {
                to.target_inbox.push_back(std::move(it));
            }
        };
        std::visit(hand_over, input);
    }
    to.wakeup = std::min(to.wakeup, m_now);
}

void system_world::deliver(node& to, std::uint64_t life, entry_input input, core_duration delay)
{
    after(delay,
          [this, &to, life, input = std::move(input)]() mutable
          {
              if (to.life == life && to.alive())
              {
                  take(to, std::move(input));
              }
          });
}

system_world::wire* system_world::find_wire(const node& at, link_id link, std::size_t& end)
{
    for (const auto& it : m_wires)
    {
        for (std::size_t side = 0; side < 2; ++side)
        {
            if (it->ends[side] == &at && it->ids[side] == link && it->lives[side] == at.life)
            {
                end = side;
                return it.get();
            }
        }
    }
    return nullptr;
}

void system_world::do_open(node& at, const open_peer& order)
{
    auto* const other = find(order.address);
    if (other == nullptr || is_cut(at.name, other->name))
    {
        // No answer at all: the core finds out by itself.
        return;
    }
    if (!other->alive())
    {
        deliver(at, at.life, peer_closed{order.link}, network_delay());
        return;
    }
    auto made = std::make_unique<wire>();
    made->ends[0] = &at;
    made->ends[1] = other;
    made->ids[0] = order.link;
    made->ids[1] = other->next_inbound++;
    made->lives[0] = at.life;
    made->lives[1] = other->life;
    made->open = true;
    const auto delay = network_delay();
    for (std::size_t side = 0; side < 2; ++side)
    {
        made->last_delivery[side] = m_now + delay;
        deliver(*made->ends[side], made->lives[side], peer_opened{made->ids[side]}, delay);
    }
    m_wires.push_back(std::move(made));
}

void system_world::do_send(node& at, const send_peer& order)
{
    std::size_t end = 0;
    auto* const line = find_wire(at, order.link, end);
    if (line == nullptr || !line->open || line->silent)
    {
        return;
    }
    auto& to = *line->ends[1 - end];
    if (is_cut(at.name, to.name))
    {
        // What was lost once leaves the connection silent for good.
        line->silent = true;
        return;
    }
    const auto encoded = encode(order.message);
    ++m_traffic.messages[order.message.index()];
    m_traffic.bytes[order.message.index()] += encoded.size();
    m_traffic.of_process[at.name] += encoded.size();
    m_traffic.of_process[to.name] += encoded.size();
    auto decoded = decode_message(encoded);
    const auto at_time = std::max(line->last_delivery[1 - end], m_now + network_delay());
    line->last_delivery[1 - end] = at_time;
    deliver(to, line->lives[1 - end], peer_received{line->ids[1 - end], std::move(*decoded)},
            at_time - m_now);
}

void system_world::do_close(node& at, const close_peer& order)
{
    std::size_t end = 0;
    auto* const line = find_wire(at, order.link, end);
    if (line == nullptr || !line->open)
    {
        return;
    }
    line->open = false;
    if (!line->silent)
    {
        const auto at_time = std::max(line->last_delivery[1 - end], m_now + network_delay());
        deliver(*line->ends[1 - end], line->lives[1 - end], peer_closed{line->ids[1 - end]}, at_time - m_now);
    }
}

void system_world::break_wires(node& of, bool silent)
{
    for (const auto& it : m_wires)
    {
        const bool first = it->ends[0] == &of && it->lives[0] == of.life;
        const bool second = it->ends[1] == &of && it->lives[1] == of.life;
        if (!it->open || (!first && !second))
        {
            continue;
        }
        const std::size_t other = first ? 1 : 0;
        if (silent)
        {
            it->silent = true;
            continue;
        }
        it->open = false;
        const auto at_time = std::max(it->last_delivery[other], m_now + network_delay());
        deliver(*it->ends[other], it->lives[other], peer_closed{it->ids[other]}, at_time - m_now);
    }
    std::erase_if(m_wires, [](const auto& it) { return !it->open; });
}

// Store

void system_world::do_store(node& at, const run_store_op& order)
{
    const auto life = at.life;
    if (m_cut_from_store.contains(at.name))
    {
        deliver(at, life, store_done{order.id, {.status = store_status::unavailable}}, network_delay());
        return;
    }
    const auto there = m_options.store_delay / 2 + network_delay();
    after(there,
          [this, &at, life, order]
          {
              ++m_traffic.store_ops[order.operation.index()];
              if (const auto* const created = std::get_if<object_create>(&order.operation))
              {
                  m_traffic.store_bytes += created->bytes.size();
              }
              const auto reply = m_store.apply(order.operation, m_now);
              m_traffic.store_read_bytes += reply.value.size();
              std::ranges::for_each(reply.rows, [&](const table_row& it)
                                    { m_traffic.store_read_bytes += it.value.size(); });
              deliver(at, life, store_done{order.id, reply}, m_options.store_delay / 2 + network_delay());
          });
}

// Engines and services

void system_world::do_start(node& at, const engine_start& order)
{
    ++at.record.runs[order.call];
    const auto token = ++m_order;
    at.running[order.call] = token;
    if (at.hangs)
    {
        return;
    }
    if (at.is_model)
    {
        stream_answer(at, order, m_options.model_time);
        return;
    }
    const auto time = m_options.tool_time / 2 +
                      core_duration{random(1 + static_cast<std::uint64_t>(m_options.tool_time.count()))};
    after(time,
          [this, &at, order, token]
          {
              const auto it = at.running.find(order.call);
              if (it == at.running.end() || it->second != token)
              {
                  return;
              }
              if (at.lose_answers > 0)
              {
                  --at.lose_answers;
                  finish_call(at, order.call,
                              {.error = {problem_id::target_failed, ran_state::unknown, "answer lost"}});
                  return;
              }
              finish_call(at, order.call, {.output = tool_answer(order.call, order.request.input)});
          });
}

void system_world::stream_answer(node& at, const engine_start& order, core_duration time)
{
    const auto token = at.running.at(order.call);
    const auto answer = standins::answer_text(order.prompt, order.request.max_tokens);
    token_count prompt = 0;
    std::ranges::for_each(order.prompt, [&](const std::string& it) { prompt += estimate_tokens(it); });
    const auto words = estimate_tokens(answer);
    at.record.held[order.call.program] = prompt + words;
    at.record.computed[order.call.program] += prompt + words;
    const auto still_runs = [&at, call = order.call, token]
    {
        const auto it = at.running.find(call);
        return it != at.running.end() && it->second == token;
    };
    for (int part = 0; part < token_parts; ++part)
    {
        const auto size = answer.size();
        const auto from = size * static_cast<std::size_t>(part) / token_parts;
        const auto to = size * static_cast<std::size_t>(part + 1) / token_parts;
        const auto input =
            engine_tokens{order.call, static_cast<std::uint64_t>(part), answer.substr(from, to - from)};
        after(time * (part + 1) / (token_parts + 1),
              [this, &at, still_runs, input]
              {
                  if (still_runs() && at.alive())
                  {
                      at.target_inbox.emplace_back(input);
                      at.wakeup = std::min(at.wakeup, m_now);
                  }
              });
    }
    const call_outcome outcome{.output = answer, .usage = {.prompt = prompt, .completion = words}};
    after(time,
          [this, &at, still_runs, call = order.call, outcome]
          {
              if (still_runs())
              {
                  finish_call(at, call, outcome);
              }
          });
}

void system_world::finish_call(node& at, const call_ref& call, call_outcome outcome)
{
    at.running.erase(call);
    if (at.alive())
    {
        at.target_inbox.emplace_back(engine_finished{call, std::move(outcome)});
        at.wakeup = std::min(at.wakeup, m_now);
    }
}

void system_world::do_cancel(node& at, const engine_cancel& order)
{
    if (at.running.contains(order.call))
    {
        finish_call(at, order.call, {.error = {problem_id::cancelled, ran_state::unknown, "cancelled"}});
    }
}

void system_world::do_list(node& at)
{
    engine_listing listing;
    for (const auto& [program, tokens] : at.record.held)
    {
        listing.programs.push_back({program, tokens});
    }
    at.target_inbox.emplace_back(std::move(listing));
    at.wakeup = std::min(at.wakeup, m_now);
}

void system_world::do_trace(const node& at, const trace_event& event)
{
    ++m_events[event.id];
    std::string line = std::to_string(m_now.time_since_epoch().count()) + " " + at.name.value + " ";
    const auto* const row = find_event(event.id);
    line += row != nullptr ? std::string{row->name} : "?";
    line += " " + event.program.value + " " + event.call.value;
    for (const auto& it : event.fields)
    {
        line += " " + it.key + "=" + it.value;
    }
    note(line);
}

void system_world::note(const std::string& what)
{
    m_trace.push_back(what);
    if (!m_options.keep_trace && m_trace.size() > 2 * trace_length)
    {
        m_trace.erase(m_trace.begin(), m_trace.begin() + trace_length);
    }
}

// Callers

std::uint64_t system_world::request(std::size_t entry, forward_request raw, answer_handler on_answer)
{
    const auto number = m_next_caller++;
    auto& at = *m_nodes[entry];
    after(network_delay(),
          [this, number, entry, &at, raw = std::move(raw), on_answer = std::move(on_answer)]() mutable
          {
              if (!at.alive())
              {
                  on_answer({});
                  return;
              }
              m_callers[number] = {
                  .entry = entry, .life = at.life, .id = number, .on_answer = std::move(on_answer)};
              take(at, caller_request{number, std::move(raw)});
          });
    return number;
}

void system_world::hang_up(std::uint64_t request)
{
    const auto it = m_callers.find(request);
    if (it == m_callers.end())
    {
        return;
    }
    auto& at = *m_nodes[it->second.entry];
    deliver(at, it->second.life, caller_gone{it->second.id}, network_delay());
    m_callers.erase(it);
}

void system_world::end_callers(std::size_t entry)
{
    std::vector<caller> broken;
    for (const auto& [number, it] : m_callers)
    {
        if (it.entry == entry)
        {
            broken.push_back(it);
        }
    }
    std::erase_if(m_callers, [&](const auto& it) { return it.second.entry == entry; });
    for (const auto& it : broken)
    {
        after(network_delay(),
              [it]
              {
                  auto answer = it.answer;
                  answer.status = 0;
                  it.on_answer(answer);
              });
    }
}

// Faults

void system_world::kill_entry(std::size_t entry, bool silent)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: kill entry " + std::to_string(entry) +
         (silent ? " silent" : ""));
    auto& it = *m_nodes[entry];
    if (!it.alive())
    {
        return;
    }
    break_wires(it, silent);
    it.entry.reset();
    end_callers(entry);
}

void system_world::start_entry(std::size_t entry)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: start entry " + std::to_string(entry));
    if (!m_nodes[entry]->alive())
    {
        make_core(*m_nodes[entry]);
    }
}

void system_world::freeze_entry(std::size_t entry, core_duration time)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: freeze entry " + std::to_string(entry) +
         " " + std::to_string(time.count()));
    m_nodes[entry]->frozen_until = m_now + time;
}

void system_world::stop_entry(std::size_t entry)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: stop entry " + std::to_string(entry));
    if (m_nodes[entry]->alive())
    {
        take(*m_nodes[entry], stop_requested{});
    }
}

void system_world::kill_target(std::size_t target, bool silent)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: kill target " + std::to_string(target));
    auto& it = target_node(target);
    if (it.alive())
    {
        break_wires(it, silent);
        it.target.reset();
    }
}

void system_world::start_target(std::size_t target)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: start target " + std::to_string(target));
    if (!target_node(target).alive())
    {
        make_core(target_node(target));
    }
}

void system_world::freeze_target(std::size_t target, core_duration time)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: freeze target " +
         std::to_string(target) + " " + std::to_string(time.count()));
    target_node(target).frozen_until = m_now + time;
}

void system_world::stop_target(std::size_t target)
{
    if (target_node(target).alive())
    {
        take(target_node(target), stop_requested{});
    }
}

void system_world::cut(const process_name& a, const process_name& b)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: cut " + a.value + " " + b.value);
    m_cuts.insert(ordered(a, b));
}

void system_world::heal(const process_name& a, const process_name& b)
{
    m_cuts.erase(ordered(a, b));
}

void system_world::cut_from_store(const process_name& process, bool cut)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: store cut " + process.value +
         (cut ? " on" : " off"));
    if (cut)
    {
        m_cut_from_store.insert(process);
        return;
    }
    m_cut_from_store.erase(process);
}

void system_world::silence(const process_name& a, const process_name& b)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: silence " + a.value + " " + b.value);
    for (const auto& it : m_wires)
    {
        if (ordered(it->ends[0]->name, it->ends[1]->name) == ordered(a, b))
        {
            it->silent = true;
        }
    }
}

void system_world::lose_backend_answers(std::size_t target, std::uint32_t count)
{
    target_node(target).lose_answers = count;
}

void system_world::hang_backend(std::size_t target, bool hangs)
{
    target_node(target).hangs = hangs;
}

// What happened

const system_traffic& system_world::traffic() const
{
    return m_traffic;
}

std::int64_t system_world::weigh_entry(std::size_t entry, const std::function<std::int64_t()>& heap)
{
    const auto before = heap();
    m_nodes[entry]->entry.reset();
    return before - heap();
}

std::int64_t system_world::weigh_target(std::size_t target, const std::function<std::int64_t()>& heap)
{
    const auto before = heap();
    target_node(target).target.reset();
    return before - heap();
}

const target_record& system_world::record(std::size_t target) const
{
    return target_node(target).record;
}

std::uint32_t system_world::runs_of(const call_ref& call) const
{
    std::uint32_t runs = 0;
    for (const auto& it : m_nodes)
    {
        const auto found = it->record.runs.find(call);
        runs += found != it->record.runs.end() ? found->second : 0;
    }
    return runs;
}

token_count system_world::computed_for(const program_id& root) const
{
    token_count sum = 0;
    for (const auto& it : m_nodes)
    {
        for (const auto& [program, tokens] : it->record.computed)
        {
            const bool below = program.value.starts_with(root.value + sub_agent_separator);
            sum += program == root || below ? tokens : 0;
        }
    }
    return sum;
}

bool system_world::any_memory_held() const
{
    return std::ranges::any_of(m_nodes, [](const auto& it) { return !it->record.held.empty(); });
}

entry_counts system_world::entry_state(std::size_t entry) const
{
    const auto& it = *m_nodes[entry];
    return it.entry ? it.entry->counts() : entry_counts{};
}

target_counts system_world::target_state(std::size_t target) const
{
    const auto& it = target_node(target);
    return it.target ? it.target->counts() : target_counts{};
}

bool system_world::entry_alive(std::size_t entry) const
{
    return m_nodes[entry]->alive();
}

bool system_world::target_alive(std::size_t target) const
{
    return target_node(target).alive();
}

std::size_t system_world::shards_owned() const
{
    std::size_t owned = 0;
    for (std::size_t n = 0; n < m_options.entries; ++n)
    {
        owned += entry_state(n).shards_owned;
    }
    return owned;
}

std::uint64_t system_world::events(event_id id) const
{
    const auto it = m_events.find(id);
    return it != m_events.end() ? it->second : 0;
}

std::string system_world::trace() const
{
    std::string text;
    const bool all = m_options.keep_trace || m_trace.size() <= trace_length;
    const auto from = all ? 0 : m_trace.size() - trace_length;
    for (auto n = from; n < m_trace.size(); ++n)
    {
        text += m_trace[n] + "\n";
    }
    return text;
}

std::string tool_answer(const call_ref& call, const std::string& input)
{
    return "receipt " + call.program.value + " " + call.key.value + " " + input;
}

} // namespace masticcourse::tests
