/// @file
/// Outcomes of requests at one target over a sliding window of a few seconds.
#pragma once

#include "masticcourse/gateway/time.hpp"

#include <array>
#include <cstdint>

namespace masticcourse::gateway
{

/// Outcomes at one target within one interval, of this gateway or of all.
struct target_outcomes
{
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;

    [[nodiscard]] std::uint32_t total() const
    {
        return successes + failures;
    }
    target_outcomes& operator+=(const target_outcomes& other)
    {
        successes += other.successes;
        failures += other.failures;
        return *this;
    }

    /// @param other outcomes that are contained in these
    target_outcomes& operator-=(const target_outcomes& other)
    {
        successes -= other.successes;
        failures -= other.failures;
        return *this;
    }

    friend bool operator==(const target_outcomes&, const target_outcomes&) = default;
};

/// Counts of outcomes in buckets of fixed width. The buckets of all windows begin at the same times, so that
/// targets can be compared over the same interval.
class outcome_window
{
  public:
    static constexpr std::size_t bucket_count = 6;
    static constexpr milliseconds bucket_width{500};

    /// Sums over the newest bucket, the newest two and so on, up to the whole window.
    using recent_sums = std::array<target_outcomes, bucket_count>;

    /// Adds outcomes to the bucket of the current time.
    void record(const target_outcomes& outcomes, time_point now);
    [[nodiscard]] recent_sums recent(time_point now) const;

  private:
    [[nodiscard]] static std::int64_t bucket_number(time_point now)
    {
        return now.time_since_epoch() / duration{bucket_width};
    }
    [[nodiscard]] static std::size_t slot_of(std::int64_t number)
    {
        return static_cast<std::size_t>(number) % bucket_count;
    }

    std::array<target_outcomes, bucket_count> m_buckets{};
    /// Number of the newest bucket that has been written.
    std::int64_t m_newest = 0;
};

} // namespace masticcourse::gateway
