/// @file
/// When to ask the store again after it refused or gave no answer: gaps that grow, with jitter.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/store/store_op.hpp"

#include <cstdint>

namespace masticcourse
{

struct retry_options
{
    /// The gap after the first failure; it doubles with each further one.
    core_duration first_gap = std::chrono::milliseconds{50};
    core_duration longest_gap = std::chrono::seconds{2};
};

/// @param random state of the random numbers, changed by the call
/// @return a duration between half and one and a half of @a mean
[[nodiscard]] core_duration jittered(core_duration mean, std::uint64_t& random);

/// Spaces the attempts of one state machine, so that an outage meets no storm of them.
class store_retry
{
  public:
    /// @param seed spreads the attempts of different processes; the same seed gives the same gaps
    store_retry(retry_options options, std::uint64_t seed);

    /// The last attempt failed at @a now.
    void failed(core_time now);

    /// The last attempt was answered.
    void succeeded();

    [[nodiscard]] bool allowed(core_time now) const;

    /// @return the earliest time of the next attempt
    [[nodiscard]] core_time ready_at() const;

  private:
    retry_options m_options;
    std::uint64_t m_random;
    core_duration m_gap{};
    core_time m_ready_at = core_time::min();
};

/// What an answer from the store means for the operation that it belongs to.
enum class store_answer : std::uint8_t
{
    /// No operation was outstanding.
    none,
    /// Not done: to be tried again later.
    refused,
    /// Done or not; a write wants settling.
    lost,
    /// `ok`, `conflict` or `not_found`.
    settled,
};

/// One operation at a time, and pauses after failures.
class store_exchange
{
  public:
    store_exchange(retry_options options, std::uint64_t seed);

    /// Whether an operation may be sent now.
    [[nodiscard]] bool open(core_time now) const;

    /// An operation is on its way.
    void sent();

    [[nodiscard]] bool outstanding() const;

    /// Takes in the answer to the operation sent last.
    store_answer received(const store_reply& reply, core_time now);

    /// @return when the next operation may be sent (`core_time::max()`: one is outstanding)
    [[nodiscard]] core_time ready_at() const;

  private:
    store_retry m_retry;
    bool m_outstanding = false;
};

} // namespace masticcourse
