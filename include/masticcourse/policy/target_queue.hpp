/// @file
/// The queue of one target, shared by all programs. The engine does not support priorities, so calls are
/// ordered here.
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

/// A call waiting to be submitted to the engine.
struct waiting_call
{
    call_ref call;
    workspace_id workspace;
    service_class priority = service_class::standard;
    /// Tokens that the program has been served so far (its attained service).
    token_count attained = 0;
    token_count prompt_tokens = 0;
    /// Prompt tokens that the engine is assumed to have cached.
    token_count expected_cached = 0;
    token_count max_tokens = 0;
    core_time arrived{};
    std::optional<core_time> deadline;
    /// Whether the program has not run any call yet.
    bool first_turn = false;
    program_id parent;
};

/// Ordering rules of the queue. Each rule adds a bounded delay to the arrival time, so no call starves.
struct queue_order
{
    /// Delay of each class relative to the class above it.
    core_duration class_delay = std::chrono::seconds{20};
    /// Delay of a call per thousand tokens of attained service of its program.
    core_duration attained_delay = std::chrono::milliseconds{100};
    /// Maximum delay due to attained service.
    core_duration max_attained_delay = std::chrono::seconds{5};
    /// Delay of a workspace per thousand tokens served to it in excess of the least served workspace.
    core_duration workspace_delay = std::chrono::milliseconds{200};
    core_duration max_workspace_delay = std::chrono::seconds{10};
    /// A call with a deadline is due at the latest this long before the deadline.
    core_duration deadline_margin = std::chrono::seconds{5};

    /// @return the maximum time by which all rules together can delay a call behind one that arrived later
    [[nodiscard]] core_duration max_total_delay() const;
};

/// The waiting calls in the order in which they are to run.
class target_queue
{
  public:
    target_queue() = default;
    explicit target_queue(const queue_order& order);

    /// Adds a call.
    /// @return false if a call with the same reference is already queued; the queue is then unchanged
    bool push(waiting_call call);

    /// Removes and returns the call that is to run next.
    std::optional<waiting_call> pop(core_time now);

    /// @return the call that `pop` would return, valid until the queue changes; null if the queue is empty
    [[nodiscard]] const waiting_call* peek(core_time now) const;

    /// Removes a cancelled call.
    /// @return whether the call was queued
    bool remove(const call_ref& call);

    /// Removes and returns all calls whose deadlines have passed, in order of deadline.
    std::vector<waiting_call> expire(core_time now);

    [[nodiscard]] std::size_t size() const;

    /// @return tokens to prefill for all queued calls, without those assumed to be cached
    [[nodiscard]] token_count queued_prefill() const;

    /// @return upper bound on the tokens to decode for all queued calls
    [[nodiscard]] token_count queued_decode() const;

  private:
    /// Sort key of a call among the calls of its workspace.
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
        /// Tokens served; raised to `m_served_floor` when an idle workspace queues a call, so that being idle
        /// earns no priority.
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
    /// Highest `least_served` seen by `pop`; the minimum `served_tokens` of a workspace that was idle.
    token_count m_served_floor = 0;
    std::uint64_t m_next_sequence = 0;
    token_count m_queued_prefill = 0;
    token_count m_queued_decode = 0;
};

} // namespace masticcourse
