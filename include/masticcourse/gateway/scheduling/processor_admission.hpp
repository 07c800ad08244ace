/// @file
/// Which requests a gateway takes in while it is short of processor time. Contains no I/O.
///
/// Load pattern: callers send more than the process can handle. Every request under way then waits behind all
/// others at each of its steps, and all are served too late. How long handlers wait for the processor shows
/// it long before any timeout does, as in CoDel: a delay that does not fall below a target for an interval is
/// no burst. Requests are then refused before anything is done for them, and their callers try again at once,
/// mostly through another gateway. Programs that have not begun are refused first, as no work is lost with
/// them.
#pragma once

#include "masticcourse/gateway/time.hpp"

#include <cstdint>

namespace masticcourse::gateway
{

/// Tells a standing delay from a burst. Once it stands, each delay above the target counts until it has been
/// below for an interval: otherwise each interval would let in more than can be handled.
class standing_delay
{
  public:
    explicit standing_delay(duration target) : m_target(target) {}

    /// @param delay how long a handler has just waited
    /// @return whether the delay exceeds the target, and is standing
    [[nodiscard]] bool observe(duration delay, time_point now);

  private:
    duration m_target;
    bool m_above = false;
    /// When the delay last crossed the target.
    time_point m_since{};
    bool m_standing = false;
};

enum class processor_load : std::uint8_t
{
    normal,
    /// No further programs are begun.
    busy,
    /// No further requests are taken in.
    overloaded,
};

class processor_admission
{
  public:
    /// @param delay how long the handler that takes in a request has waited for the processor
    [[nodiscard]] processor_load observe(duration delay, time_point now);

  private:
    /// A part of a stream waits twice on its way through, and callers notice pauses of over a tenth of a
    /// second.
    static constexpr milliseconds busy_delay{50};
    /// Higher for the requests of programs for which work has been done already.
    static constexpr milliseconds overload_delay{150};

    standing_delay m_busy{busy_delay};
    standing_delay m_overload{overload_delay};
};

} // namespace masticcourse::gateway
