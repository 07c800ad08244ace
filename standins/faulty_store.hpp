/// @file
/// The platform's store for tests in virtual time: operations stay pending until the test determines their
/// outcome.
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

/// Outcome of an operation as chosen by the test.
enum class op_outcome : std::uint8_t
{
    completed,
    /// Refused without effect.
    refused,
    /// Executed, but the response is lost.
    response_lost,
    /// Not executed; the sender sees an unknown outcome.
    request_lost,
    /// The sender sees an unknown outcome, and the operation reaches the store later, see
    /// @ref faulty_store::apply_delayed_request.
    request_delayed,
    /// Executed, but the response arrives later, when the state may have changed, see
    /// @ref faulty_store::deliver_delayed_response.
    response_delayed,
};

inline constexpr std::size_t op_outcome_count = 6;

/// Accepts operations from any number of state machines.
class faulty_store
{
  public:
    using reply_handler = std::function<void(const store_reply&)>;

    struct pending_op
    {
        store_op op;
        reply_handler handler;
    };

    /// Adds an operation to the pending ones.
    void send(store_op op, reply_handler handler);

    /// Removes a pending operation, so that the test can send it again later.
    [[nodiscard]] pending_op take(std::size_t index);

    /// @return the number of pending operations, without delayed requests
    [[nodiscard]] std::size_t pending_count() const;

    /// Applies @a outcome to a pending operation and calls its handler, unless the response is delayed.
    /// @param index taken modulo the number of pending operations; likewise below
    void deliver(std::size_t index, op_outcome outcome, core_time now);

    /// Executes one of the delayed requests, if there are any.
    void apply_delayed_request(std::size_t index, core_time now);

    /// Delivers one of the delayed responses, if there are any.
    /// @return whether a response was delivered
    bool deliver_delayed_response(std::size_t index);

    /// @return the number of operations per outcome
    [[nodiscard]] const std::array<std::uint64_t, op_outcome_count>& outcome_counts() const;

    [[nodiscard]] platform_store& store();

    /// Called with each operation that the store executes, and its reply.
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

/// Sends the next operation requested by a state machine, if any.
/// @param machine must outlive the reply
/// @return whether an operation was sent
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

/// Runs a state machine against a store that completes every operation, until it has neither an operation to
/// send nor a wakeup time.
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
