/// @file
/// What a load run measured.
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

/// One program that ended in good order.
struct program_sample
{
    service_class priority = service_class::standard;
    /// From start to end, without the planned pauses: what the system is answerable for.
    std::chrono::milliseconds latency{};
};

struct load_counts
{
    std::uint64_t programs_started = 0;
    std::uint64_t programs_finished = 0;
    std::uint64_t programs_failed = 0;
    std::uint64_t calls_finished = 0;
    std::uint64_t calls_failed = 0;
    /// Answers that refused a request with `ran: no` and a time to come back.
    std::uint64_t refusals = 0;
    /// Requests sent again for lack of an answer, with the same key.
    std::uint64_t repeats = 0;
    std::uint64_t outcomes_unknown = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
    /// Prompt tokens that an engine had seen in the turn before.
    std::uint64_t seen_tokens = 0;
    /// Those of them that were computed again.
    std::uint64_t wasted_tokens = 0;
};

/// Everything that a run measured.
struct load_report
{
    load_counts counts;
    std::vector<program_sample> samples;
};

/// @param q between 0 and 1
/// @return the quantile by the nearest rank, or nothing without samples
[[nodiscard]] std::optional<std::chrono::milliseconds>
quantile_of(std::vector<std::chrono::milliseconds> values, double q);

/// @return the share of seen prompt tokens that were computed again
[[nodiscard]] double wasted_share(const load_counts& counts);

[[nodiscard]] std::string report_table(const load_report& report);
[[nodiscard]] std::string report_json(const load_report& report);

} // namespace masticcourse::detail
