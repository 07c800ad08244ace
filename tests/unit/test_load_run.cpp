// Unit tests of load runs against an in-process HTTP server that rejects, drops or answers calls.
#include "../../src/cli/load_run.hpp"

#include "masticcourse/net/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>

using namespace masticcourse;
using namespace masticcourse::detail;
using nlohmann::json;

namespace
{

/// HTTP server that acts as an entry. The response to the first request of each call is configurable; retries
/// succeed.
class scripted_entry
{
  public:
    enum class first_answer
    {
        success,
        refused,
        lost,
        unknown,
    };

    explicit scripted_entry(first_answer first)
        : m_first_answer(first),
          m_server(m_context, "127.0.0.1:0", {},
                   [this](const http_request& request, std::shared_ptr<http_exchange> exchange)
                   { answer(request, std::move(exchange)); }),
          m_thread([this] { m_context.run(); })
    {
    }
    scripted_entry(const scripted_entry&) = delete;
    scripted_entry(scripted_entry&&) = delete;
    scripted_entry& operator=(const scripted_entry&) = delete;
    scripted_entry& operator=(scripted_entry&&) = delete;
    ~scripted_entry()
    {
        m_context.stop();
    }

    [[nodiscard]] deployment_settings settings() const
    {
        return {.entries = {{.http_address = "127.0.0.1:" + std::to_string(m_server.port())}},
                .services = {{.name = {"llm"}}},
                .workspaces = {{.id = {"w"}, .token = "token", .max_budget = 100}}};
    }

    /// @return the number of distinct calls received
    [[nodiscard]] std::size_t calls()
    {
        const std::lock_guard lock{m_mutex};
        return m_request_counts.size();
    }

    [[nodiscard]] int open_programs()
    {
        const std::lock_guard lock{m_mutex};
        return m_open_programs;
    }

  private:
    void answer(const http_request& request, std::shared_ptr<http_exchange> exchange)
    {
        const std::lock_guard lock{m_mutex};
        if (request.method == "DELETE")
        {
            --m_open_programs;
            exchange->respond({.body = "{}"});
        }
        else if (request.target == "/v1/programs")
        {
            ++m_open_programs;
            exchange->respond({.status = 201, .body = json{{"program", std::to_string(m_next++)}}.dump()});
        }
        else
        {
            answer_call(request, std::move(exchange));
        }
    }

    void answer_call(const http_request& request, std::shared_ptr<http_exchange> exchange)
    {
        const bool first =
            m_request_counts[request.target + request.header("Idempotency-Key").value_or("")]++ == 0;
        if (!first || m_first_answer == first_answer::success)
        {
            const json usage{{"prompt", 50}, {"cached", 20}, {"completion", 10}};
            exchange->respond({.body = json{{"output", "x"}, {"ran", "yes"}, {"usage", usage}}.dump()});
        }
        else if (m_first_answer == first_answer::refused)
        {
            exchange->respond(problem_response(
                {problem_id::overloaded, ran_state::no, "busy", std::chrono::milliseconds{1}}));
        }
        else if (m_first_answer == first_answer::unknown)
        {
            exchange->respond(problem_response({problem_id::outcome_unknown, ran_state::unknown, "lost"}));
        }
        // In case of first_answer::lost, destroying the exchange closes the connection without a response.
    }

    first_answer m_first_answer;
    boost::asio::io_context m_context{1};
    std::mutex m_mutex;
    std::map<std::string, int> m_request_counts;
    int m_open_programs = 0;
    int m_next = 1;
    http_server m_server;
    std::jthread m_thread;
};

std::vector<planned_program> two_programs()
{
    const planned_turn call{.service = {"llm"}, .input = "x", .max_tokens = 5};
    planned_turn sub_agent;
    sub_agent.sub_agent = {call};
    return {{.budget = 100, .turns = {call, call}}, {.budget = 100, .turns = {call, sub_agent, call}}};
}

load_report run_against(scripted_entry& entry)
{
    std::ostringstream out;
    std::ostringstream err;
    console output{out, err};
    return run_load(entry.settings(), two_programs(), output);
}

} // namespace

TEST_CASE("a load run executes all turns and sub-agents and ends its programs")
{
    scripted_entry entry{scripted_entry::first_answer::success};
    const auto report = run_against(entry);
    CHECK(report.counts.programs_finished == 2);
    CHECK(report.samples.size() == 2);
    CHECK(report.counts.calls_finished == 5);
    CHECK(entry.calls() == 5);
    CHECK(entry.open_programs() == 0);
    // Each program has a second call, with 60 tokens processed before it: its prompt has 50, of which 20 are
    // cached.
    CHECK(report.counts.seen_tokens == 100);
    CHECK(report.counts.wasted_tokens == 60);
}

TEST_CASE("rejected and lost calls are retried with the same idempotency key")
{
    for (const auto first : {scripted_entry::first_answer::refused, scripted_entry::first_answer::lost})
    {
        scripted_entry entry{first};
        const auto report = run_against(entry);
        const bool refused = first == scripted_entry::first_answer::refused;
        CHECK(report.counts.programs_finished == 2);
        CHECK(entry.calls() == 5);
        CHECK(report.counts.refusals == (refused ? 5 : 0));
        CHECK(report.counts.repeats == (refused ? 0 : 5));
    }
}

TEST_CASE("a call with an unknown outcome ends its program and is not retried")
{
    scripted_entry entry{scripted_entry::first_answer::unknown};
    const auto report = run_against(entry);
    CHECK(report.counts.programs_failed == 2);
    CHECK(report.counts.outcomes_unknown == 2);
    CHECK(entry.calls() == 2);
    CHECK(entry.open_programs() == 0);
}

TEST_CASE("an entry that refuses connections is skipped")
{
    scripted_entry entry{scripted_entry::first_answer::success};
    auto settings = entry.settings();
    {
        // The port is closed once the server is destroyed.
        const scripted_entry closed_entry{scripted_entry::first_answer::success};
        settings.entries.push_back(closed_entry.settings().entries.front());
    }
    std::ostringstream out;
    std::ostringstream err;
    console output{out, err};
    const auto report = run_load(settings, two_programs(), output);
    CHECK(report.counts.programs_finished == 2);
    CHECK(report.counts.repeats == 0);
}
