// A target core before the engine model, with a home that loses its connection now and then: whole programs
// in virtual time, from the same seeds on every run.
#include "engine_model.hpp"
#include "masticcourse/control/target_core.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t turns_per_program = 6;
constexpr core_time time_limit{10min};

struct row
{
    const char* name;
    std::uint32_t seed;
    std::size_t programs;
    std::uint32_t max_running;
    token_count cache_capacity;
    std::size_t max_queue;
    bool drops;
};

/// One program as its home sees it.
struct home_program
{
    std::vector<std::string> history;
    std::size_t turn = 0;
    /// When the present turn is to be sent; nothing once it was.
    std::optional<core_time> send_at{core_time{}};
    std::string streamed;
    bool done = false;
};

class world
{
  public:
    explicit world(const row& given)
        : m_row(given), m_random(given.seed), m_engine(engine_of(given)), m_core(target_of(given))
    {
        for (std::size_t n = 0; n < given.programs; ++n)
        {
            m_programs[{"p" + std::to_string(n)}].history = {"shared beginning of all prompts"};
        }
    }

    void run()
    {
        connect();
        while (m_now < time_limit &&
               !std::ranges::all_of(m_programs, [](auto& it) { return it.second.done; }))
        {
            m_now = std::min(m_core.next_wakeup(), m_engine.next_event_time().value_or(core_time::max()));
            act_as_home();
            for (const auto& event : m_engine.advance(m_now))
            {
                std::visit([this](const auto& it) { take_engine(it); }, event);
            }
            give(peer_received{.link = m_link, .message = peer_heartbeat{}});
        }
    }

    void check_end() const
    {
        for (const auto& [id, program] : m_programs)
        {
            CAPTURE(id.value);
            CHECK(program.turn == turns_per_program);
        }
        CHECK(m_engine.cached_programs().empty());
        CHECK(m_engine.load().cache_used == 0);
        CHECK(m_core.counts().kept == 0);
        CHECK(m_core.counts().programs == 0);
        CHECK(m_core.counts().orphans_freed == 0);
        CHECK(m_core.counts().leases_lapsed == 0);
        CHECK((m_link > 5) == m_row.drops);
    }

  private:
    static standins::engine_options engine_of(const row& given)
    {
        return {.max_running = given.max_running, .cache_capacity = given.cache_capacity};
    }

    static target_options target_of(const row& given)
    {
        target_options options{.name = {"t"}, .incarnation = {"t/1"}, .service = {"agent-llm"}};
        options.max_running = given.max_running;
        options.cache_capacity = given.cache_capacity;
        options.max_queue = given.max_queue;
        return options;
    }

    void give(target_input input)
    {
        for (auto& output : m_core.step(std::span{&input, 1}, m_now))
        {
            std::visit([this](const auto& it) { perform(it); }, output);
        }
        // What came of the outputs is told in steps of its own.
        while (!m_told.empty())
        {
            const target_input next = m_told.front();
            m_told.erase(m_told.begin());
            give(next);
        }
    }

    void send(peer_message message)
    {
        give(peer_received{.link = m_link, .message = std::move(message)});
    }

    void connect()
    {
        m_link += 1;
        give(peer_opened{m_link});
        send(peer_hello{.name = {"entry-1"}, .incarnation = {"entry-1/a"}});
        for (const auto& [id, program] : m_programs)
        {
            if (!program.done && !program.send_at)
            {
                send(ask_call{.call = ref_of(id, program), .shard = 1, .epoch = 1});
            }
        }
    }

    void act_as_home()
    {
        if (m_row.drops && m_random() % 40 == 0)
        {
            give(peer_closed{m_link});
            connect();
        }
        if (m_now >= m_next_renewal)
        {
            m_next_renewal = m_now + 3s;
            renew_programs renewal{.lease = 10s};
            for (const auto& [id, program] : m_programs)
            {
                if (!program.done)
                {
                    renewal.programs.push_back(id);
                }
            }
            send(renewal);
        }
        for (auto& [id, program] : m_programs)
        {
            if (program.send_at && *program.send_at <= m_now)
            {
                dispatch(id, program);
            }
        }
    }

    static call_ref ref_of(const program_id& id, const home_program& program)
    {
        return {.program = id, .key = {"turn-" + std::to_string(program.turn)}};
    }

    static std::string input_of(const program_id& id, const home_program& program)
    {
        return "input " + id.value + " " + std::to_string(program.turn);
    }

    void dispatch(const program_id& id, home_program& program)
    {
        program.send_at.reset();
        dispatch_call order{.call = ref_of(id, program), .shard = 1, .epoch = 1};
        order.request = {.key = order.call.key, .service = {"agent-llm"}, .input = input_of(id, program)};
        order.request.max_tokens = 40;
        order.prompt = program.history;
        order.turn_number = static_cast<std::uint32_t>(program.turn);
        send(order);
    }

    void take_outcome(const call_ref& ref, const call_outcome& outcome)
    {
        home_program& program = m_programs.at(ref.program);
        if (program.done || program.send_at || ref != ref_of(ref.program, program))
        {
            // A repetition of what was taken before.
            return;
        }
        REQUIRE_FALSE(outcome.error.failed());
        program.history.push_back(input_of(ref.program, program));
        CHECK(outcome.output == standins::completion_text(program.history, outcome.usage.completion));
        CHECK((program.streamed.empty() || program.streamed == outcome.output));
        program.history.push_back(outcome.output);
        program.streamed.clear();
        program.turn += 1;
        m_told.emplace_back(peer_received{.link = m_link, .message = outcome_durable{ref}});
        if (program.turn < turns_per_program)
        {
            program.send_at = m_now + std::chrono::milliseconds{m_random() % 2000};
            return;
        }
        program.done = true;
        const release_program release{.program = ref.program, .shard = 1, .epoch = 1};
        m_told.emplace_back(peer_received{.link = m_link, .message = release});
    }

    /// @name Messages of the target process
    /// @{
    void receive(const call_finished& message)
    {
        take_outcome(message.call, message.outcome);
    }

    void receive(const call_answer& message)
    {
        REQUIRE(message.knowledge != call_knowledge::never_seen);
        if (message.knowledge == call_knowledge::finished)
        {
            m_programs.at(message.call.program).streamed.clear();
            take_outcome(message.call, message.outcome);
        }
    }

    void receive(const call_tokens& message)
    {
        std::string& streamed = m_programs.at(message.call.program).streamed;
        streamed = message.sequence == 0 ? message.text : streamed + message.text;
    }

    void receive(const call_refused& message)
    {
        REQUIRE(message.reason == refusal_reason::overloaded);
        m_programs.at(message.call.program).send_at = m_now + *message.retry_after;
    }

    template <typename Other>
    void receive(const Other& /*unused*/)
    {
    }
    /// @}

    /// @name What the core wants done
    /// @{
    void perform(const send_peer& output)
    {
        if (output.link == m_link)
        {
            std::visit([this](const auto& it) { receive(it); }, output.message);
        }
    }

    void perform(const engine_start& output)
    {
        const standins::stream_id stream{output.call.program.value + "/" + output.call.key.value};
        CHECK(m_streams.emplace(stream, output.call).second);
        m_engine.start({.stream = stream,
                        .program = output.call.program,
                        .prompt = output.prompt,
                        .max_tokens = output.request.max_tokens,
                        .answer_tokens = static_cast<token_count>(5 + m_random() % 30)},
                       m_now);
    }

    void perform(const engine_free& output)
    {
        m_engine.free_program(output.program);
    }

    void perform(const engine_list_request& /*unused*/)
    {
        m_told.emplace_back(engine_listing{m_engine.cached_programs()});
    }

    template <typename Other>
    void perform(const Other& /*unused*/)
    {
    }
    /// @}

    void take_engine(const standins::token_event& event)
    {
        give(engine_tokens{.call = m_streams.at(event.stream), .sequence = event.index, .text = event.text});
    }

    void take_engine(const standins::finished_event& event)
    {
        const call_ref ref = m_streams.at(event.stream);
        std::vector<std::string> prompt = m_programs.at(ref.program).history;
        prompt.push_back(input_of(ref.program, m_programs.at(ref.program)));
        call_outcome outcome{.output = standins::completion_text(prompt, event.usage.completion),
                             .usage = event.usage};
        give(engine_finished{.call = ref, .outcome = std::move(outcome)});
    }

    row m_row;
    std::mt19937 m_random;
    standins::engine_model m_engine;
    target_core m_core;
    core_time m_now{};
    core_time m_next_renewal{};
    link_id m_link = 0;
    std::map<program_id, home_program> m_programs;
    std::map<standins::stream_id, call_ref> m_streams;
    std::vector<target_input> m_told;
};

} // namespace

TEST_CASE("target core and engine run whole programs")
{
    constexpr std::array table{row{"calm", 1, 10, 8, 100'000, 256, false},
                               row{"connections drop", 2, 10, 8, 100'000, 256, true},
                               row{"little memory", 3, 20, 8, 1'500, 256, true},
                               row{"one at a time, short queue", 4, 12, 1, 100'000, 2, true},
                               row{"many", 5, 60, 4, 20'000, 16, true}};
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        world one{it};
        one.run();
        one.check_end();
    }
}
