/// @file
/// How fast a target's engine is, as its target process sees it, and what it reports of its load.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/messages/peer_message.hpp"
#include "masticcourse/policy/engine_admission.hpp"
#include "masticcourse/policy/target_queue.hpp"

#include <chrono>

namespace masticcourse
{

/// What is believed of an engine before it has been measured.
struct engine_speed
{
    /// Tokens per second of one prefill.
    double prefill_rate = 8'000;
    /// Tokens per second of a full batch.
    double decode_rate = 700;
};

/// Measures the speed of one engine by the calls that it finishes.
class rate_meter
{
  public:
    rate_meter() = default;

    /// @param initial_speed what is believed at first
    /// @param slots   sequences of a full batch
    rate_meter(const engine_speed& initial_speed, std::uint32_t slots);

    /// A call's first token came.
    /// @param tokens tokens computed for it
    /// @param elapsed   the time since it, or the prefill before it, could begin
    void on_prefill(token_count tokens, core_duration elapsed);

    /// A call has ended.
    /// @param tokens     tokens of the answer after the first
    /// @param elapsed       the time from the first token to the last
    /// @param max_tokens what the caller allowed
    void on_decode(token_count tokens, core_duration elapsed, token_count max_tokens);

    [[nodiscard]] engine_speed speed() const;

    /// @return the part of the allowed answer length that answers use, on average
    [[nodiscard]] double answer_length_ratio() const;

  private:
    engine_speed m_speed;
    std::uint32_t m_slots = 16;
    double m_answer_length_ratio = 0.5;
};

/// The report of a target's load: the work in front of a new call.
[[nodiscard]] target_load make_load_report(const target_queue& queue, const engine_admission& engine,
                                           const rate_meter& meter);

} // namespace masticcourse
