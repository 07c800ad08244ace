/// @file
/// The platform's store as a test in virtual time drives it: operations wait until the test says what becomes
/// of them.
#pragma once

#include "platform_store.hpp"

#include "masticcourse/core/clock.hpp"
#include "masticcourse/store/store_op.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace masticcourse::standins
{

/// What becomes of one operation.
enum class op_outcome : std::uint8_t
{
    completed,
    /// Refused, nothing done.
    refused,
    /// Done, but the answer is lost.
    response_lost,
    /// Not done, and no answer.
    request_lost,
    /// No answer, and the store gets the operation at some later time.
    request_delayed,
    /// Done, and the answer comes at some later time, when things may have changed.
    response_delayed,
};

inline constexpr std::size_t op_outcome_count = 6;

/// Takes operations from any number of state machines.
class faulty_store
{
  public:
    using reply_handler = std::function<void(const store_reply&)>;

    struct pending_op
    {
        store_op op;
        reply_handler handler;
    };

    /// Puts an operation on its way.
    void send(store_op op, reply_handler handler);

    /// Takes one of the waiting operations back, to send it again later.
    [[nodiscard]] pending_op take(std::size_t index);

    /// @return number of operations on their way, without late ones
    [[nodiscard]] std::size_t pending_count() const;

    /// Lets one of the waiting operations have its fate, and tells its sender unless nothing comes back at
    /// all.
    void deliver(std::size_t index, op_outcome outcome, core_time now);

    /// Lets the store get one of the late operations, if there are any.
    void apply_delayed_request(std::size_t index, core_time now);

    /// Hands over one of the slow answers, if there are any.
    /// @return whether there was one
    bool deliver_delayed_response(std::size_t index);

    /// @return how often each fate was met
    [[nodiscard]] const std::array<std::uint64_t, op_outcome_count>& outcome_counts() const;

    [[nodiscard]] platform_store& store();

    /// Called with each operation that the store carries out, and its answer.
    std::function<void(const store_op&, const store_reply&)> observer;

  private:
    struct delayed_response
    {
        store_reply reply;
        reply_handler handler;
    };

    store_reply execute(const store_op& op, core_time now);

    platform_store m_store;
    std::vector<pending_op> m_pending;
    std::vector<store_op> m_delayed_requests;
    std::vector<delayed_response> m_delayed_responses;
    std::array<std::uint64_t, op_outcome_count> m_outcome_counts{};
};

/// Sends what a state machine asks for, if anything.
/// @param machine must outlive the answer
template <typename Machine>
bool send_next(Machine& machine, faulty_store& store, core_time& now)
{
    auto op = machine.poll(now);
    if (op)
    {
        store.send(std::move(*op),
                   [&machine, &now](const store_reply& reply) { machine.on_reply(reply, now); });
    }
    return op.has_value();
}

/// Runs a state machine against a store that answers everything, until it asks for nothing more.
template <typename Machine>
void run_to_completion(Machine& machine, faulty_store& store, core_time& now)
{
    constexpr int max_steps = 100000;
    for (int n = 0; n < max_steps; ++n)
    {
        if (send_next(machine, store, now))
        {
            store.deliver(store.pending_count() - 1, op_outcome::completed, now);
        }
        else if (machine.next_wakeup() == core_time::max())
        {
            return;
        }
        now = std::max(now, std::min(machine.next_wakeup(), now + std::chrono::hours{1}));
    }
}

} // namespace masticcourse::standins
