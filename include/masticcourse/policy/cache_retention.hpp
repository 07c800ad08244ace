/// @file
/// Which prefixes of paused programs an engine should keep while its memory is short.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

namespace masticcourse
{

/// The cached prefix of a program that runs nothing just now.
struct paused_prefix
{
    program_id program;
    token_count tokens = 0;
    /// How much longer the pause is expected to last.
    core_duration expected_remaining{};
};

/// The memory of one engine.
struct engine_cache_state
{
    token_count capacity = 0;
    token_count used = 0;
    /// Tokens per second that the engine prefills.
    double prefill_rate = 0;
    /// Tokens per second by which a prefix can be moved elsewhere; 0 where it can't.
    double transfer_rate = 0;
    /// Memory free at the target that a prefix could be moved to.
    token_count destination_free_tokens = 0;
};

enum class retention_decision : std::uint8_t
{
    keep,
    evict,
    transfer,
};

struct retention_action
{
    program_id program;
    retention_decision action = retention_decision::keep;
};

struct retention_options
{
    /// Memory in use, as a part of all, above which prefixes are given up, and down to which.
    double high_watermark = 0.95;
    double low_watermark = 0.85;
    /// The fixed cost of a move.
    core_duration transfer_overhead = std::chrono::milliseconds{20};
};

/// Decides what to give up. Keeping a prefix costs its memory for the rest of the pause and saves its
/// prefill: worth per token and second falls with the rest of the pause, so the longest rests go first.
/// @return the prefixes to drop or to move, first to go first; those not named are kept
[[nodiscard]] std::vector<retention_action> plan_retention(std::span<const paused_prefix> paused,
                                                           const engine_cache_state& cache,
                                                           const retention_options& options);

} // namespace masticcourse
