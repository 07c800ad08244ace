/// @file
/// Results of a load run.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/model/call.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::detail
{

/// Measurement of a program that finished successfully.
struct program_sample
{
    service_class priority = service_class::standard;
    /// Time from start to end without the planned pauses, that is, the time spent in the system.
    std::chrono::milliseconds latency{};
};

struct load_counts
{
    std::uint64_t programs_started = 0;
    std::uint64_t programs_finished = 0;
    std::uint64_t programs_failed = 0;
    std::uint64_t calls_finished = 0;
    std::uint64_t calls_failed = 0;
    /// Replies that rejected a request with `ran: no` and a retry delay.
    std::uint64_t refusals = 0;
    /// Requests retried with the same idempotency key because no reply was received.
    std::uint64_t repeats = 0;
    std::uint64_t outcomes_unknown = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
    /// Prompt tokens that an engine had already processed in the previous turn.
    std::uint64_t seen_tokens = 0;
    /// Seen tokens that were not served from the cache and had to be recomputed.
    std::uint64_t wasted_tokens = 0;
};

struct load_report
{
    load_counts counts;
    std::vector<program_sample> samples;
};

/// @param q between 0 and 1
/// @return the nearest-rank quantile, or std::nullopt if @a values is empty
[[nodiscard]] std::optional<std::chrono::milliseconds>
quantile_of(std::vector<std::chrono::milliseconds> values, double q);

/// @return the fraction of seen prompt tokens that were recomputed
[[nodiscard]] double wasted_share(const load_counts& counts);

[[nodiscard]] std::string report_table(const load_report& report);
[[nodiscard]] std::string report_json(const load_report& report);

} // namespace masticcourse::detail
