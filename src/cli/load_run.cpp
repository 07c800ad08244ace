#include "load_run.hpp"

#include "deployment_access.hpp"
#include "json_reply.hpp"

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <ostream>

namespace masticcourse::detail
{

namespace
{

namespace asio = boost::asio;
using nlohmann::json;
using run_clock = std::chrono::steady_clock;

/// Total time limit for a request, including retries.
constexpr std::chrono::seconds retry_time_limit{60};
/// Time for which an entry is skipped after a failed connection attempt, as a load balancer would do.
constexpr std::chrono::seconds connect_failure_cooldown{1};
constexpr std::chrono::milliseconds default_backoff{250};
constexpr std::chrono::milliseconds max_backoff{5'000};
constexpr std::chrono::milliseconds call_timeout{180'000};
constexpr int first_non_success_status = 300;

asio::awaitable<http_client_reply> send(http_client& client, http_client_request request)
{
    const auto start = [&client](auto handler, const http_client_request& to_send)
    {
        // The client requires a copyable callback, but asynchronous handlers are move-only.
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        client.send(to_send, [shared](http_client_reply reply) { (*shared)(std::move(reply)); });
    };
    return asio::async_initiate<const asio::use_awaitable_t<>&, void(http_client_reply)>(
        start, asio::use_awaitable, std::move(request));
}

asio::awaitable<void> sleep_for(std::chrono::milliseconds pause)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, pause};
    co_await timer.async_wait(asio::use_awaitable);
}

bool is_success(const http_client_reply& reply)
{
    return reply.failure == http_failure::none && reply.status < first_non_success_status;
}

/// @return the retry delay of a rejection, clamped to the backoff limits, or std::nullopt if it has none
std::optional<std::chrono::milliseconds> retry_after(const json& document)
{
    if (!document.is_object() || !document.contains("retry_after_ms") ||
        !document.at("retry_after_ms").is_number_integer())
    {
        return std::nullopt;
    }
    const std::chrono::milliseconds wait{document.at("retry_after_ms").get<std::int64_t>()};
    return std::clamp(wait, default_backoff, max_backoff);
}

token_count usage_member(const json& outcome, const char* name)
{
    const auto usage = outcome.is_object() && outcome.contains("usage") ? outcome.at("usage") : json{};
    const bool valid = usage.is_object() && usage.contains(name) && usage.at(name).is_number_integer();
    return valid ? usage.at(name).get<token_count>() : 0;
}

/// Client-side state of a program.
struct program_session
{
    std::string id;
    const workspace_settings* workspace = nullptr;
    std::uint32_t turns_seen = 0;
    /// Tokens that the engine has processed: prompt and completion of the last model call.
    token_count processed_tokens = 0;
};

/// Address of an entry, and the time until which it is skipped.
struct entry_endpoint
{
    std::string address;
    run_clock::time_point unavailable_until{};
};

/// Executes a load run. Each program is a coroutine; all run on a single thread.
class load_runner
{
  public:
    load_runner(const deployment_settings& settings, console& output)
        : m_settings(settings), m_console(output)
    {
        std::ranges::transform(settings.entries, std::back_inserter(m_entries),
                               [](const entry_settings& it)
                               { return entry_endpoint{.address = it.http_address}; });
    }

    load_report run(const std::vector<planned_program>& programs)
    {
        m_remaining = programs.size();
        m_planned = programs.size();
        for (const auto& it : programs)
        {
            asio::co_spawn(m_context, run_program(it), asio::detached);
        }
        if (m_console.shows_progress)
        {
            asio::co_spawn(m_context, show_progress(), asio::detached);
        }
        if (m_remaining != 0)
        {
            m_context.run();
        }
        return std::move(m_report);
    }

  private:
    asio::awaitable<void> run_program(const planned_program& program)
    {
        co_await sleep_for(program.start);
        ++m_report.counts.programs_started;
        const auto& workspace = m_settings.workspaces[program.workspace];
        const auto start = run_clock::now();
        std::chrono::milliseconds total_pause{};
        const bool succeeded = co_await run_turns(program.turns, workspace, program.budget, {}, total_pause);
        const auto run_time = std::chrono::duration_cast<std::chrono::milliseconds>(run_clock::now() - start);
        if (succeeded)
        {
            ++m_report.counts.programs_finished;
            m_report.samples.push_back({workspace.priority, run_time - total_pause});
        }
        else
        {
            ++m_report.counts.programs_failed;
        }
        if (--m_remaining == 0)
        {
            m_context.stop();
        }
    }

    /// Creates a program, makes its calls and ends it.
    /// @param total_pause incremented by the planned pauses
    /// @return whether all calls succeeded
    asio::awaitable<bool> run_turns(const std::vector<planned_turn>& turns,
                                    const workspace_settings& workspace, token_count budget,
                                    std::string parent, std::chrono::milliseconds& total_pause)
    {
        auto session = co_await create_program(workspace, budget, std::move(parent));
        if (!session)
        {
            co_return false;
        }
        bool succeeded = true;
        for (auto it = turns.begin(); succeeded && it != turns.end(); ++it)
        {
            co_await sleep_for(it->pause);
            total_pause += it->pause;
            succeeded = it->sub_agent.empty()
                            ? co_await make_call(*session, *it)
                            : co_await run_turns(it->sub_agent, workspace, sub_agent_budget(budget),
                                                 session->id, total_pause);
        }
        co_await end_program(*session);
        co_return succeeded;
    }

    static token_count sub_agent_budget(token_count budget)
    {
        constexpr token_count share = 4;
        return std::max<token_count>(budget / share, 1);
    }

    asio::awaitable<std::optional<program_session>> create_program(const workspace_settings& workspace,
                                                                   token_count budget, std::string parent)
    {
        json body{{"budget", budget}};
        if (!parent.empty())
        {
            body["parent"] = parent;
        }
        auto request = make_request({}, "POST", "/v1/programs", workspace.token);
        // Retries use the same key, so that a lost reply does not leave an orphaned program.
        request.headers.push_back({"Idempotency-Key", "load-" + std::to_string(m_next_key++)});
        request.body = body.dump();
        const auto reply = co_await send_with_retries(std::move(request));
        const auto document = parse_reply(reply.body);
        if (!is_success(reply) || !document.is_object() || !document.contains("program"))
        {
            co_return std::nullopt;
        }
        co_return program_session{.id = member_text(document, "program"), .workspace = &workspace};
    }

    asio::awaitable<bool> make_call(program_session& session, const planned_turn& turn)
    {
        const json body{{"service", turn.service.value},
                        {"input", turn.input},
                        {"idempotent", turn.idempotent},
                        {"max_tokens", turn.max_tokens},
                        {"after", session.turns_seen}};
        auto request =
            make_request({}, "POST", "/v1/programs/" + session.id + "/calls", session.workspace->token);
        request.headers.push_back({"Idempotency-Key", "turn-" + std::to_string(session.turns_seen + 1)});
        request.body = body.dump();
        request.timeout = call_timeout;
        const auto reply = co_await send_with_retries(std::move(request));
        const auto outcome = parse_reply(reply.body);
        if (!is_success(reply) || outcome.contains("problem"))
        {
            ++m_report.counts.calls_failed;
            m_report.counts.outcomes_unknown += member_text(outcome, "ran") == "unknown" ? 1 : 0;
            co_return false;
        }
        ++m_report.counts.calls_finished;
        ++session.turns_seen;
        count_tokens(session, turn, outcome);
        co_return true;
    }

    void count_tokens(program_session& session, const planned_turn& turn, const json& outcome)
    {
        if (turn.kind != call_kind::model)
        {
            return;
        }
        const auto prompt = usage_member(outcome, "prompt");
        const auto completion = usage_member(outcome, "completion");
        const auto seen = std::min(session.processed_tokens, prompt);
        const auto wasted = std::max<token_count>(seen - usage_member(outcome, "cached"), 0);
        m_report.counts.prompt_tokens += static_cast<std::uint64_t>(prompt);
        m_report.counts.completion_tokens += static_cast<std::uint64_t>(completion);
        m_report.counts.seen_tokens += static_cast<std::uint64_t>(seen);
        m_report.counts.wasted_tokens += static_cast<std::uint64_t>(wasted);
        session.processed_tokens = prompt + completion;
    }

    asio::awaitable<void> end_program(const program_session& session)
    {
        co_await send_with_retries(
            make_request({}, "DELETE", "/v1/programs/" + session.id, session.workspace->token));
    }

    /// Sends a request until it gets a final reply or the time limit expires. Rejections with a retry delay
    /// and lost replies are retried with the same idempotency key at the next entry.
    asio::awaitable<http_client_reply> send_with_retries(http_client_request request)
    {
        const auto deadline = run_clock::now() + retry_time_limit;
        while (true)
        {
            auto& entry = next_entry();
            request.address = entry.address;
            auto reply = co_await send(m_client, request);
            const auto wait = is_success(reply) ? std::nullopt : retry_delay(entry, reply);
            if (!wait || run_clock::now() + *wait >= deadline)
            {
                co_return reply;
            }
            co_await sleep_for(*wait);
        }
    }

    /// @return the delay before the next attempt, or std::nullopt if the reply is final
    std::optional<std::chrono::milliseconds> retry_delay(entry_endpoint& entry,
                                                         const http_client_reply& reply)
    {
        if (reply.failure == http_failure::connect)
        {
            entry.unavailable_until = run_clock::now() + connect_failure_cooldown;
            return any_entry_available() ? std::chrono::milliseconds{0} : default_backoff;
        }
        if (reply.failure != http_failure::none)
        {
            ++m_report.counts.repeats;
            return default_backoff;
        }
        const auto wait = retry_after(parse_reply(reply.body));
        m_report.counts.refusals += wait ? 1 : 0;
        return wait;
    }

    [[nodiscard]] bool any_entry_available() const
    {
        const auto now = run_clock::now();
        return std::ranges::any_of(m_entries,
                                   [&](const entry_endpoint& it) { return it.unavailable_until <= now; });
    }

    /// @return the next available entry in round-robin order; if none is available, the next one
    entry_endpoint& next_entry()
    {
        const auto now = run_clock::now();
        for (std::size_t n = 0; n < m_entries.size(); ++n)
        {
            auto& entry = m_entries[m_next_entry++ % m_entries.size()];
            if (entry.unavailable_until <= now)
            {
                return entry;
            }
        }
        return m_entries[m_next_entry++ % m_entries.size()];
    }

    asio::awaitable<void> show_progress()
    {
        const auto start = run_clock::now();
        while (true)
        {
            co_await sleep_for(std::chrono::seconds{1});
            const auto elapsed = std::chrono::duration_cast<std::chrono::seconds>(run_clock::now() - start);
            const auto& counts = m_report.counts;
            const auto ended = counts.programs_finished + counts.programs_failed;
            m_console.err << "\r" << elapsed.count() << " s: " << counts.programs_started << " of "
                          << m_planned << " programs started, " << counts.programs_started - ended
                          << " running, " << counts.programs_failed << " failed, " << counts.refusals
                          << " refusals   " << std::flush;
        }
    }

    const deployment_settings& m_settings;
    console& m_console;
    asio::io_context m_context{1};
    http_client m_client{m_context};
    load_report m_report;
    std::vector<entry_endpoint> m_entries;
    std::size_t m_remaining = 0;
    std::size_t m_planned = 0;
    std::size_t m_next_entry = 0;
    std::uint64_t m_next_key = 1;
};

} // namespace

load_report run_load(const deployment_settings& settings, const std::vector<planned_program>& programs,
                     console& output)
{
    return load_runner{settings, output}.run(programs);
}

} // namespace masticcourse::detail
