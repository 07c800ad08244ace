/// @file
/// A caller on a poor network that runs one program to its end and checks all that it is told.
#pragma once

#include "system_world.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::tests
{

/// What an agent does and how bad its network is.
struct agent_options
{
    std::uint32_t turns = 6;
    token_count budget = 200'000;
    token_count max_tokens = 8;
    /// Chances in a hundred.
    unsigned tool = 30;
    unsigned stream = 40;
    /// That it hangs up and asks again.
    unsigned hang_up = 10;
    /// That after "not run" it never sends the same call again.
    unsigned give_up = 20;
    core_duration patience = std::chrono::seconds{30};
    bool ends_program = true;
};

/// What an agent knows of one of its turns.
struct seen_turn
{
    call_key key;
    bool tool = false;
    std::string input;
    std::string output;
    bool unknown = false;
    /// Told before it was durable.
    bool pending = false;
};

/// One program's caller. Violations of what must always hold are collected as text.
class caller_agent
{
  public:
    caller_agent(system_world& world, std::string name, agent_options options);

    /// Begins; the agent then goes on by itself as the world's time passes.
    void start();

    [[nodiscard]] bool done() const;
    [[nodiscard]] const std::vector<std::string>& violations() const;
    [[nodiscard]] const std::vector<seen_turn>& turns() const;
    [[nodiscard]] const program_id& program() const;
    [[nodiscard]] std::uint64_t refusals() const;
    [[nodiscard]] core_duration latency() const;
    /// Turns that were told as pending and then lost with both processes that had them.
    [[nodiscard]] std::uint64_t pending_lost() const;

    /// Checks what can only be checked when nothing is under way any more.
    void check_at_rest();

  private:
    void send(forward_request raw, std::function<void(const caller_answer&)> on_answer);
    void create();
    void next_turn();
    void send_call();
    void on_call_answer(const caller_answer& answer);
    void on_outcome(const std::string& body, const std::string& streamed);
    void on_refusal(const caller_answer& answer);
    void check_output(const std::string& output);
    void read_history();
    void fall_back();
    void drop_turns(std::size_t known);
    void catch_up();
    void take_back(const std::string& history);
    void check_history(const std::string& body);
    void end();
    void again(core_duration wait, std::function<void()> action);
    void violate(const std::string& what);
    [[nodiscard]] bool chance(unsigned of_hundred);
    [[nodiscard]] std::vector<std::string> prompt() const;
    [[nodiscard]] call_ref current_ref() const;

    system_world& m_world;
    std::string m_name;
    agent_options m_options;
    program_id m_program;
    std::vector<seen_turn> m_turns;
    std::optional<seen_turn> m_current;
    std::uint32_t m_keys = 0;
    /// Whether every answer to the present call so far was a definite "not run".
    bool m_certainly_not_run = true;
    bool m_streams = false;
    std::vector<call_ref> m_never_run;
    std::vector<std::string> m_violations;
    std::uint64_t m_refusals = 0;
    std::uint64_t m_pending_lost = 0;
    /// Pending turns that were given up; they may come back.
    std::vector<seen_turn> m_dropped;
    std::uint32_t m_behind = 0;
    std::uint64_t m_attempt = 0;
    core_time m_started{};
    core_time m_ended{};
    bool m_done = false;
};

} // namespace masticcourse::tests
