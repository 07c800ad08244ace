/// @file
/// A hybrid logical clock: wall time for people, with the order of cause and effect kept across processes.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <mutex>

namespace masticcourse
{

/// A moment on the hybrid logical clock.
struct hlc_timestamp
{
    /// Wall time since the Unix epoch.
    std::chrono::microseconds wall{};
    /// Orders stamps of the same wall time.
    std::uint32_t counter = 0;

    friend auto operator<=>(const hlc_timestamp&, const hlc_timestamp&) = default;
};

/// Gives out stamps that only grow, also when the wall clock steps back. Thread-safe.
class hybrid_clock
{
  public:
    using wall_clock = std::function<std::chrono::microseconds()>;

    /// A clock over the system's wall clock.
    hybrid_clock();
    /// @param wall the wall clock to read; tests set it
    explicit hybrid_clock(wall_clock wall);

    /// @return a stamp later than all that this clock gave out or observed
    [[nodiscard]] hlc_timestamp now();

    /// Takes note of another process's stamp.
    /// @return a stamp later than @a remote and than all before
    hlc_timestamp observe(const hlc_timestamp& remote);

  private:
    wall_clock m_wall;
    std::mutex m_mutex;
    hlc_timestamp m_last;
};

} // namespace masticcourse
