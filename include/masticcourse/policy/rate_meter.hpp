/// @file
/// Measures the speed of a target's engine in the target process, and builds the target's load report.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/messages/peer_message.hpp"
#include "masticcourse/policy/engine_admission.hpp"
#include "masticcourse/policy/target_queue.hpp"

#include <chrono>

namespace masticcourse
{

/// Speed of an engine; the defaults apply until it has been measured.
struct engine_speed
{
    /// Rate of a single prefill in tokens per second.
    double prefill_rate = 8'000;
    /// Total rate of a full batch in tokens per second.
    double decode_rate = 700;
};

/// Measures the speed of one engine from the calls that it finishes.
class rate_meter
{
  public:
    rate_meter() = default;

    /// @param initial_speed speed assumed before the first measurement
    /// @param slots         number of sequences in a full batch
    rate_meter(const engine_speed& initial_speed, std::uint32_t slots);

    /// Records the first token of a call.
    /// @param tokens  number of prefilled tokens
    /// @param elapsed time since the call started or the preceding prefill ended, whichever came later
    void on_prefill(token_count tokens, core_duration elapsed);

    /// Records the end of a call.
    /// @param tokens     number of answer tokens after the first
    /// @param elapsed    time from the first token to the last
    /// @param max_tokens maximum answer length that the caller allowed
    void on_decode(token_count tokens, core_duration elapsed, token_count max_tokens);

    [[nodiscard]] engine_speed speed() const;

    /// @return average ratio of the length of an answer to its maximum length
    [[nodiscard]] double answer_length_ratio() const;

  private:
    engine_speed m_speed;
    std::uint32_t m_slots = 16;
    double m_answer_length_ratio = 0.5;
};

/// Builds the load report of a target: the work ahead of a new call.
[[nodiscard]] target_load make_load_report(const target_queue& queue, const engine_admission& engine,
                                           const rate_meter& meter);

} // namespace masticcourse
