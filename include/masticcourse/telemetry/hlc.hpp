/// @file
/// Hybrid logical clock: timestamps close to wall time that preserve causal order across processes.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <mutex>

namespace masticcourse
{

/// Timestamp of a hybrid logical clock.
struct hlc_timestamp
{
    /// Wall time since the Unix epoch.
    std::chrono::microseconds wall{};
    /// Logical counter; orders timestamps with equal wall time.
    std::uint32_t counter = 0;

    friend auto operator<=>(const hlc_timestamp&, const hlc_timestamp&) = default;
};

/// Issues strictly increasing timestamps, even if the wall clock steps back. Thread-safe.
class hybrid_clock
{
  public:
    using wall_clock = std::function<std::chrono::microseconds()>;

    /// Uses the system clock.
    hybrid_clock();
    /// @param wall source of wall time; replaceable in tests
    explicit hybrid_clock(wall_clock wall);

    /// @return a timestamp later than every timestamp issued or observed so far
    [[nodiscard]] hlc_timestamp now();

    /// Advances the clock past a timestamp received from another process.
    /// @return a timestamp later than @a remote and every timestamp issued or observed so far
    hlc_timestamp observe(const hlc_timestamp& remote);

  private:
    wall_clock m_wall;
    std::mutex m_mutex;
    hlc_timestamp m_last;
};

} // namespace masticcourse
