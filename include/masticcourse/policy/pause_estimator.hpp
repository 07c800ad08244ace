/// @file
/// Estimates the pauses of programs between two model calls from the pauses observed for each tool.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/core/ids.hpp"

#include <memory>

namespace masticcourse
{

/// Keeps a histogram of pauses for each tool, and one over all tools for those with too few samples.
class pause_estimator
{
  public:
    pause_estimator();
    ~pause_estimator();
    pause_estimator(pause_estimator&&) noexcept;
    pause_estimator& operator=(pause_estimator&&) noexcept;
    pause_estimator(const pause_estimator&) = delete;
    pause_estimator& operator=(const pause_estimator&) = delete;

    /// Records the length of a finished pause.
    void record(const service_name& tool, core_duration pause);

    /// Estimates the remaining duration of a pause.
    /// @param elapsed time since the pause began
    /// @return the mean remaining time of the recorded pauses longer than @a elapsed; @a elapsed itself if no
    /// recorded pause was longer
    [[nodiscard]] core_duration expected_remaining(const service_name& tool, core_duration elapsed) const;

  private:
    struct histograms;
    std::unique_ptr<histograms> m_histograms;
};

} // namespace masticcourse
