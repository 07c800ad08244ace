#include "masticcourse/gateway/scheduling/new_program_policy.hpp"

#include <algorithm>

namespace masticcourse::gateway
{

namespace
{

/// Weight of one turn: the average covers a few hundred turns, so a short burst of first turns does not make
/// programs appear small.
constexpr double turn_weight = 1.0 / 256;
/// Bounds the turns that are expected of a program.
constexpr double max_turns = 64;
/// Least part of the time left that a program may spend waiting. It applies where the expected durations of
/// all turns exceed the time left, because the program is smaller than the average one.
constexpr double min_slack_share = 0.05;

duration scaled(duration span, double factor)
{
    return duration{static_cast<duration::rep>(static_cast<double>(span.count()) * factor)};
}

} // namespace

void turn_estimate::record(bool first_turn)
{
    m_first_fraction += ((first_turn ? 1.0 : 0.0) - m_first_fraction) * turn_weight;
}

double turn_estimate::mean() const
{
    return std::clamp(1 / std::max(m_first_fraction, 1 / max_turns), 1.0, max_turns);
}

duration program_slack(const admission_request& request, double turns, double max_share, time_point now)
{
    const auto time_left = std::max(duration{}, *request.program_deadline - now);
    const auto slack = time_left - scaled(request.expected_duration, turns);
    return std::clamp(slack, scaled(time_left, min_slack_share), scaled(time_left, max_share));
}

} // namespace masticcourse::gateway
