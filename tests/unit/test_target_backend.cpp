// The target's backend against the HTTP stand-ins, over loopback. Tests wait on conditions, never on times.
#include "engine_http.hpp"
#include "masticcourse/control/target_backend.hpp"
#include "masticcourse/net/http_client.hpp"
#include "masticcourse/net/http_server.hpp"
#include "net_fixture.hpp"
#include "plain_service.hpp"
#include "scripted_server.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <future>
#include <memory>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

using inputs = std::vector<target_input>;

/// A stand-in, a backend before it, and what the backend has told. Both run on one thread.
class backend_fixture
{
  public:
    explicit backend_fixture(call_kind kind, const standins::engine_http_options& options = fast())
        : m_engine(m_io.context(), options), m_service(m_io.context()),
          m_server(m_io.context(), "127.0.0.1:0", {},
                   [this, kind](const http_request& request, std::shared_ptr<http_exchange> exchange)
                   {
                       kind == call_kind::model ? m_engine.handle(request, std::move(exchange))
                                                : m_service.handle(request, std::move(exchange));
                   }),
          m_client(m_io.context()),
          m_backend(m_io.context(), backend_options(kind),
                    [this](target_input input)
                    { m_told.update([&](inputs& told) { told.push_back(std::move(input)); }); })
    {
    }
    backend_fixture(const backend_fixture&) = delete;
    backend_fixture(backend_fixture&&) = delete;
    backend_fixture& operator=(const backend_fixture&) = delete;
    backend_fixture& operator=(backend_fixture&&) = delete;
    ~backend_fixture()
    {
        m_io.stop();
    }

    static standins::engine_http_options fast()
    {
        standins::engine_http_options options;
        options.engine.decode_step = 500us;
        options.engine.decode_step_per_sequence = 10us;
        return options;
    }

    void set_faults(const std::string& json)
    {
        const auto reply =
            fetch(m_client, {.address = address(), .method = "POST", .target = "/faults", .body = json});
        REQUIRE(reply.status == 200);
    }

    /// Waits until the hanging service has taken a request.
    void wait_until_unanswered()
    {
        const auto hangs = [this] {
            return fetch(m_client, {.address = address(), .target = "/faults"}).body == R"({"unanswered":1})";
        };
        REQUIRE(eventually(hangs));
    }

    call_ref start(const std::string& key, bool idempotent, token_count tokens = 20)
    {
        engine_start order{.call = {.program = {"p/1"}, .key = {key}}, .prompt = {"history", "input"}};
        order.request = {.key = {key}, .input = "input", .idempotent = idempotent, .max_tokens = tokens};
        m_backend.start(order);
        return order.call;
    }

    /// Waits for the end of a call.
    call_outcome outcome_of(const call_ref& call)
    {
        std::optional<call_outcome> outcome;
        const bool came = m_told.wait(
            [&](const inputs& told)
            {
                for (const auto& it : told)
                {
                    const auto* finished = std::get_if<engine_finished>(&it);
                    if (finished != nullptr && finished->call == call)
                    {
                        outcome = finished->outcome;
                    }
                }
                return outcome.has_value();
            });
        REQUIRE(came);
        return *outcome;
    }

    /// Waits until something of a kind has been told.
    template <typename Input>
    Input next()
    {
        std::optional<Input> found;
        const bool came = m_told.wait(
            [&](const inputs& told)
            {
                const auto it = std::ranges::find_if(told, [](const target_input& input)
                                                     { return std::holds_alternative<Input>(input); });
                if (it != told.end())
                {
                    found = std::get<Input>(*it);
                }
                return found.has_value();
            });
        REQUIRE(came);
        return *found;
    }

    /// Forgets what has been told so far.
    void forget()
    {
        m_told.update([](inputs& told) { told.clear(); });
    }

    /// @return the numbers of the tokens told so far
    std::vector<std::uint64_t> sequences()
    {
        std::vector<std::uint64_t> numbers;
        m_told.update(
            [&](const inputs& told)
            {
                for (const auto& it : told)
                {
                    if (const auto* tokens = std::get_if<engine_tokens>(&it))
                    {
                        numbers.push_back(tokens->sequence);
                    }
                }
            });
        return numbers;
    }

    target_backend& backend()
    {
        return m_backend;
    }

  private:
    std::string address()
    {
        return loopback(m_server.port());
    }

    target_backend_options backend_options(call_kind kind)
    {
        return {.address = address(), .kind = kind, .incarnation = {"t/1"}, .resume_pause = 1ms};
    }

    io_threads m_io{1};
    standins::engine_http m_engine;
    standins::plain_service m_service;
    http_server m_server;
    http_client m_client;
    synchronized_value<inputs> m_told;
    target_backend m_backend;
};

/// @return whether the tokens came in order, each once
bool in_order(const std::vector<std::uint64_t>& numbers)
{
    std::uint64_t expected = 0;
    return std::ranges::all_of(numbers, [&expected](std::uint64_t n) { return n == expected++; });
}

std::string whole_answer(token_count tokens)
{
    return standins::completion_text(std::vector<std::string>{"history", "input"}, tokens);
}

} // namespace

TEST_CASE("backend streams a model's answer")
{
    backend_fixture target{call_kind::model};
    struct row
    {
        const char* name;
        const char* faults;
    };
    constexpr std::array table{row{"unbroken", "{}"}, row{"broken once", R"({"drop_after": 3, "drops": 1})"},
                               row{"broken at the start", R"({"drop_after": 0, "drops": 1})"},
                               row{"broken after every token", R"({"drop_after": 0, "drops": 10})"}};
    int n = 0;
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        target.set_faults(it.faults);
        const auto outcome = target.outcome_of(target.start("k" + std::to_string(n++), true, 64));
        CHECK_FALSE(outcome.error.failed());
        CHECK(outcome.output == whole_answer(outcome.usage.completion));
        CHECK(outcome.usage.prompt == 2);
    }
}

TEST_CASE("backend tells each token once and in order over breaks")
{
    backend_fixture target{call_kind::model};
    target.set_faults(R"({"drop_after": 2, "drops": 5})");
    const auto outcome = target.outcome_of(target.start("a", true, 64));
    const auto numbers = target.sequences();
    CHECK(in_order(numbers));
    CHECK(static_cast<token_count>(numbers.size()) == outcome.usage.completion);
}

TEST_CASE("backend cancels and frees")
{
    auto slow = backend_fixture::fast();
    slow.engine.decode_step = 20ms;
    backend_fixture target{call_kind::model, slow};
    const auto call = target.start("a", true, 100'000);
    target.next<engine_tokens>();
    target.backend().cancel({call});
    const auto outcome = target.outcome_of(call);
    CHECK(outcome.error.failed());
    CHECK(outcome.error.ran == ran_state::yes);
    target.backend().free({call.program});
    // The two requests may take two connections, and come in either order: the listing is asked for again.
    CHECK(eventually(
        [&target]
        {
            target.forget();
            target.backend().list();
            return target.next<engine_listing>().programs.empty();
        }));
    CHECK(target.next<engine_memory>().capacity == slow.engine.cache_capacity);
}

TEST_CASE("backend lists what the engine holds")
{
    backend_fixture target{call_kind::model};
    const auto outcome = target.outcome_of(target.start("a", true));
    target.backend().list();
    const auto listing = target.next<engine_listing>();
    REQUIRE(listing.programs.size() == 1);
    CHECK(listing.programs.front().program == program_id{"p/1"});
    CHECK(listing.programs.front().tokens == outcome.usage.prompt + outcome.usage.completion);
}

TEST_CASE("backend calls a plain service once, and says what it knows")
{
    struct row
    {
        const char* name;
        const char* faults;
        bool idempotent;
        problem_id id;
        ran_state ran;
    };
    constexpr std::array table{
        row{"answered", "{}", false, problem_id::none, ran_state::no},
        row{"late", R"({"delay_ms": 20})", false, problem_id::none, ran_state::no},
        row{"failed", R"({"fail_next": 1})", false, problem_id::outcome_unknown, ran_state::unknown},
        row{"failed idempotent", R"({"fail_next": 1})", true, problem_id::target_failed, ran_state::yes},
        row{"answer lost", R"({"lose_answers": 1})", false, problem_id::outcome_unknown, ran_state::unknown},
        row{"idempotent lost", R"({"lose_answers": 1})", true, problem_id::target_failed, ran_state::yes}};
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        backend_fixture target{call_kind::tool};
        target.set_faults(it.faults);
        const auto outcome = target.outcome_of(target.start("a", it.idempotent));
        CHECK(outcome.error.id == it.id);
        CHECK(outcome.error.ran == it.ran);
        if (it.id == problem_id::none)
        {
            CHECK(outcome.output == standins::plain_service::make_output("a", "input"));
        }
    }
}

TEST_CASE("backend gives up a hanging service when it is told to")
{
    backend_fixture target{call_kind::tool};
    target.set_faults(R"({"hang": true})");
    const auto call = target.start("a", false);
    target.wait_until_unanswered();
    target.backend().cancel({call});
    CHECK(target.outcome_of(call).error.ran == ran_state::unknown);
}

// Guards against: a target fails in the middle of a response without length or chunks, and the cut response
// passes for its whole one.
TEST_CASE("backend takes no cut response without length or chunks for a whole one")
{
    const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
    const auto run = [](scripted_server& server, call_kind kind, bool idempotent)
    {
        io_threads threads{1};
        synchronized_value<std::optional<call_outcome>> outcome;
        target_backend backend{
            threads.context(),
            {.address = loopback(server.port()), .kind = kind, .incarnation = {"t/1"}, .resume_pause = 1ms},
            [&](const target_input& input)
            {
                if (const auto* finished = std::get_if<engine_finished>(&input))
                {
                    outcome.update([&](auto& value) { value = finished->outcome; });
                }
            }};
        engine_start order{.call = {.program = {"p"}, .key = {"k"}}, .prompt = {"input"}};
        order.request = {.key = {"k"}, .input = "input", .idempotent = idempotent, .max_tokens = 20};
        backend.start(order);
        REQUIRE(outcome.wait([](const auto& value) { return value.has_value(); }));
        threads.stop();
        return *outcome.get();
    };
    SUBCASE("a plain service: whole")
    {
        scripted_server server{{{head + R"({"output":"done"})", connection_end::close}}};
        CHECK(run(server, call_kind::tool, false).output == "done");
    }
    SUBCASE("a plain service: cut")
    {
        for (const bool idempotent : {false, true})
        {
            scripted_server server{{{head + R"({"output":"do)", connection_end::close}}};
            const auto lost = run(server, call_kind::tool, idempotent);
            CHECK(lost.error.id == (idempotent ? problem_id::target_failed : problem_id::outcome_unknown));
            CHECK(lost.error.ran == (idempotent ? ran_state::yes : ran_state::unknown));
        }
    }
    SUBCASE("a model: cut inside an event, after an event, then whole")
    {
        const std::string one = "id: 0\ndata: {\"token\":\"a\"}\n\n";
        const std::string two = "id: 1\ndata: {\"token\":\"b\"}\n\n";
        const std::string end = "id: 2\ndata: {\"finish\":\"stop\"}\n\n";
        scripted_server server{{{head + one + "id: 1\ndata: {\"tok", connection_end::close},
                                {head + two, connection_end::close},
                                {head + end, connection_end::close}}};
        const auto outcome = run(server, call_kind::model, true);
        CHECK_FALSE(outcome.error.failed());
        CHECK(outcome.output == "ab");
        CHECK(server.request(1).find("Last-Event-ID: 0") != std::string::npos);
    }
}

TEST_CASE("backend without a target")
{
    struct row
    {
        call_kind kind;
    };
    constexpr std::array table{row{call_kind::model}, row{call_kind::tool}};
    for (const auto& it : table)
    {
        io_threads io{1};
        std::promise<call_outcome> ended;
        // Port 1 of loopback takes no connections.
        target_backend backend{io.context(),
                               {.address = "127.0.0.1:1", .kind = it.kind},
                               [&ended](const target_input& input)
                               { ended.set_value(std::get<engine_finished>(input).outcome); }};
        backend.start({.call = {.program = {"p"}, .key = {"k"}}, .request = {.idempotent = false}});
        const auto outcome = ended.get_future().get();
        CHECK(outcome.error.id == problem_id::target_failed);
        CHECK(outcome.error.ran == ran_state::no);
        io.stop();
    }
}
