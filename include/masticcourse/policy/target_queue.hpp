/// @file
/// The queue in front of one target, across programs: the engine knows no priorities, so order is made here.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/core/ids.hpp"
#include "masticcourse/messages/peer_message.hpp"
#include "masticcourse/model/call.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace masticcourse
{

/// A call that waits for its turn at the engine.
struct waiting_call
{
    call_ref call;
    workspace_id workspace;
    service_class priority = service_class::standard;
    /// Tokens that the program has received so far.
    token_count attained = 0;
    token_count prompt_tokens = 0;
    /// The part of the prompt that the engine is believed to hold.
    token_count expected_cached = 0;
    token_count max_tokens = 0;
    core_time arrived{};
    std::optional<core_time> deadline;
    /// The program has run nothing yet.
    bool first_turn = false;
    program_id parent;
};

/// The order of the queue. Every rule is a bounded delay on the arrival time, so nothing starves.
struct queue_order
{
    /// How long a class waits behind the one above it.
    core_duration class_delay = std::chrono::seconds{20};
    /// How long a call waits for each thousand tokens that its program has received.
    core_duration attained_delay = std::chrono::milliseconds{100};
    /// The most that attained service counts for.
    core_duration max_attained_delay = std::chrono::seconds{5};
    /// How long a workspace waits for each thousand tokens that it has had more than the least served one.
    core_duration workspace_delay = std::chrono::milliseconds{200};
    core_duration max_workspace_delay = std::chrono::seconds{10};
    /// A call with a deadline is due this long before it.
    core_duration deadline_margin = std::chrono::seconds{5};

    /// @return the longest that all rules together can put a call behind a later one
    [[nodiscard]] core_duration max_total_delay() const;
};

/// Waiting calls, next one first.
class target_queue
{
  public:
    target_queue() = default;
    explicit target_queue(const queue_order& order);

    /// Adds a call.
    /// @return false if a call of that name waits already; the queue is unchanged then
    bool push(waiting_call call);

    /// Takes the call that is to run next.
    std::optional<waiting_call> pop(core_time now);

    /// @return the call that `pop` would take, until the queue changes; nothing if it is empty
    [[nodiscard]] const waiting_call* peek(core_time now) const;

    /// Removes a call that was cancelled.
    /// @return whether it was waiting
    bool remove(const call_ref& call);

    /// Takes all calls whose deadlines have passed, in order of deadline.
    std::vector<waiting_call> expire(core_time now);

    [[nodiscard]] std::size_t size() const;

    /// Tokens to prefill in all waiting calls, without those believed cached.
    [[nodiscard]] token_count queued_prefill() const;

    /// Tokens to decode in all waiting calls, at most.
    [[nodiscard]] token_count queued_decode() const;

  private:
    /// A call's place among those of its workspace.
    struct position
    {
        core_time due;
        std::uint64_t sequence = 0;
        friend auto operator<=>(const position&, const position&) = default;
    };

    struct entry
    {
        waiting_call call;
        position queue_position;
    };

    struct workspace_queue
    {
        std::map<position, call_ref> waiting;
        /// Tokens served, raised to the least of the waiting workspaces when it comes back from idleness.
        token_count served_tokens = 0;
    };

    [[nodiscard]] position assign_position(const waiting_call& call);
    [[nodiscard]] const position* next_of(const workspace_queue& queue) const;
    [[nodiscard]] std::map<workspace_id, workspace_queue>::const_iterator next_workspace() const;
    [[nodiscard]] token_count least_served() const;
    void adjust_totals(const waiting_call& call, int sign);
    waiting_call extract(std::map<call_ref, entry>::iterator it);

    queue_order m_order;
    std::map<call_ref, entry> m_calls;
    std::map<workspace_id, workspace_queue> m_workspaces;
    std::set<std::pair<core_time, call_ref>> m_deadlines;
    /// What the last served workspace had had before; where one that was idle begins.
    token_count m_served_floor = 0;
    std::uint64_t m_next_sequence = 0;
    token_count m_queued_prefill = 0;
    token_count m_queued_decode = 0;
};

} // namespace masticcourse
