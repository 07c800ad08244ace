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
enum class op_fate : std::uint8_t
{
    answered,
    /// Refused, nothing done.
    refused,
    /// Done, but the answer is lost.
    done_but_lost,
    /// Not done, and no answer.
    dropped,
    /// No answer, and the store gets the operation at some later time.
    late,
    /// Done, and the answer comes at some later time, when things may have changed.
    slow,
};

inline constexpr std::size_t fate_count = 6;

/// Takes operations from any number of state machines.
class faulty_store
{
  public:
    using answer_handler = std::function<void(const store_reply&)>;

    struct waiting_op
    {
        store_op op;
        answer_handler handler;
    };

    /// Puts an operation on its way.
    void send(store_op op, answer_handler handler);

    /// Takes one of the waiting operations back, to send it again later.
    [[nodiscard]] waiting_op take(std::size_t which);

    /// @return number of operations on their way, without late ones
    [[nodiscard]] std::size_t waiting() const;

    /// Lets one of the waiting operations have its fate, and tells its sender unless nothing comes back at
    /// all.
    void deliver(std::size_t which, op_fate fate, core_time now);

    /// Lets the store get one of the late operations, if there are any.
    void deliver_late(std::size_t which, core_time now);

    /// Hands over one of the slow answers, if there are any.
    /// @return whether there was one
    bool deliver_slow(std::size_t which);

    /// @return how often each fate was met
    [[nodiscard]] const std::array<std::uint64_t, fate_count>& fates() const;

    [[nodiscard]] platform_store& store();

    /// Called with each operation that the store carries out, and its answer.
    std::function<void(const store_op&, const store_reply&)> observer;

  private:
    struct slow_answer
    {
        store_reply reply;
        answer_handler handler;
    };

    store_reply carry_out(const store_op& op, core_time now);

    platform_store m_store;
    std::vector<waiting_op> m_waiting;
    std::vector<store_op> m_late;
    std::vector<slow_answer> m_slow;
    std::array<std::uint64_t, fate_count> m_fates{};
};

/// Sends what a state machine asks for, if anything.
/// @param machine must outlive the answer
template <typename Machine>
bool pump(Machine& machine, faulty_store& store, core_time& now)
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
void run_to_end(Machine& machine, faulty_store& store, core_time& now)
{
    constexpr int most_steps = 100000;
    for (int n = 0; n < most_steps; ++n)
    {
        if (pump(machine, store, now))
        {
            store.deliver(store.waiting() - 1, op_fate::answered, now);
        }
        else if (machine.next_wakeup() == core_time::max())
        {
            return;
        }
        now = std::max(now, std::min(machine.next_wakeup(), now + std::chrono::hours{1}));
    }
}

} // namespace masticcourse::standins
