/// @file
/// Selects the cached prefixes of paused programs that an engine gives up when its KV cache is nearly full.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

namespace masticcourse
{

/// The cached prefix of a program that has no call in progress.
struct paused_prefix
{
    program_id program;
    token_count tokens = 0;
    /// Expected remaining duration of the pause.
    core_duration expected_remaining{};
};

/// KV cache usage of one engine, and the rates that decide between eviction and transfer of a prefix.
struct engine_cache_state
{
    token_count capacity = 0;
    token_count used = 0;
    /// Prefill rate of the engine in tokens per second.
    double prefill_rate = 0;
    /// Rate of a prefix transfer to another target in tokens per second; 0 if transfers are not possible.
    double transfer_rate = 0;
    /// Free cache capacity at the target that would receive a transferred prefix.
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
    /// Fractions of the cache capacity: prefixes are given up when usage exceeds the high watermark, until it
    /// is down to the low watermark.
    double high_watermark = 0.95;
    double low_watermark = 0.85;
    /// Fixed cost of one transfer.
    core_duration transfer_overhead = std::chrono::milliseconds{20};
};

/// Selects the prefixes to evict or transfer. Keeping a prefix occupies its memory for the rest of the pause
/// and saves one prefill of it. The value of a cached token per second thus falls with the remaining pause,
/// and prefixes with the longest remaining pause are selected first.
/// @return the prefixes to evict or transfer, in order of selection; all others are kept
[[nodiscard]] std::vector<retention_action> plan_retention(std::span<const paused_prefix> paused,
                                                           const engine_cache_state& cache,
                                                           const retention_options& options);

} // namespace masticcourse
