/// @file
/// How long a program pauses between two model calls, learnt for each tool as the system runs.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/core/ids.hpp"

#include <memory>

namespace masticcourse
{

/// Histograms of pauses, one for each tool, and one over all for tools that are not known yet.
class pause_estimator
{
  public:
    pause_estimator();
    ~pause_estimator();
    pause_estimator(pause_estimator&&) noexcept;
    pause_estimator& operator=(pause_estimator&&) noexcept;
    pause_estimator(const pause_estimator&) = delete;
    pause_estimator& operator=(const pause_estimator&) = delete;

    /// A pause has ended.
    void record(const service_name& tool, core_duration pause);

    /// How much longer a pause will last.
    /// @param elapsed how long it has lasted already
    /// @return the mean of what is left of longer pauses; @a elapsed itself if none was ever longer
    [[nodiscard]] core_duration expected_remaining(const service_name& tool, core_duration elapsed) const;

  private:
    struct histograms;
    std::unique_ptr<histograms> m_histograms;
};

} // namespace masticcourse
