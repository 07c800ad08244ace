#include "masticcourse/policy/pause_estimator.hpp"

#include <boost/histogram.hpp>

#include <algorithm>
#include <chrono>
#include <unordered_map>

namespace masticcourse
{

namespace
{

namespace bh = boost::histogram;
using seconds = std::chrono::duration<double>;
using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using pause_histogram = decltype(bh::make_histogram(log_axis{}));

constexpr unsigned bin_count = 48;
constexpr double min_pause_seconds = 0.001;
constexpr double max_pause_seconds = 7200;
/// Minimum number of samples before a tool's own histogram is used.
constexpr double min_tool_samples = 20;
/// Number of samples after which the weights of a histogram are halved, so that old pauses decay.
constexpr double samples_per_halving = 4096;
/// Maximum number of tools with their own histogram; further tools share the one over all tools.
constexpr std::size_t max_tools = 256;

pause_histogram make_pause_histogram()
{
    return bh::make_histogram(log_axis{bin_count, min_pause_seconds, max_pause_seconds});
}

struct decaying_histogram
{
    pause_histogram pauses = make_pause_histogram();
    double sample_count = 0;

    void add(double pause)
    {
        if (sample_count >= samples_per_halving)
        {
            pauses *= 0.5;
            sample_count *= 0.5;
        }
        pauses(pause);
        sample_count += 1;
    }
};

/// Weighted mean of the remaining time over all bins with a center beyond @a elapsed.
double mean_remaining(const pause_histogram& pauses, double elapsed)
{
    double weight = 0;
    double sum = 0;
    for (const auto& bin : bh::indexed(pauses, bh::coverage::all))
    {
        const double center = std::clamp(bin.bin().center(), min_pause_seconds, max_pause_seconds);
        if (center > elapsed)
        {
            weight += *bin;
            sum += *bin * (center - elapsed);
        }
    }
    return weight > 0 ? sum / weight : elapsed;
}

} // namespace

struct pause_estimator::histograms
{
    std::unordered_map<service_name, decaying_histogram> by_tool;
    decaying_histogram all_tools;

    [[nodiscard]] const decaying_histogram& for_tool(const service_name& tool) const
    {
        const auto it = by_tool.find(tool);
        return it != by_tool.end() && it->second.sample_count >= min_tool_samples ? it->second : all_tools;
    }
};

pause_estimator::pause_estimator() : m_histograms(std::make_unique<histograms>()) {}

pause_estimator::~pause_estimator() = default;
pause_estimator::pause_estimator(pause_estimator&&) noexcept = default;
pause_estimator& pause_estimator::operator=(pause_estimator&&) noexcept = default;

void pause_estimator::record(const service_name& tool, core_duration pause)
{
    const double pause_seconds = seconds{pause}.count();
    m_histograms->all_tools.add(pause_seconds);
    if (m_histograms->by_tool.contains(tool) || m_histograms->by_tool.size() < max_tools)
    {
        m_histograms->by_tool[tool].add(pause_seconds);
    }
}

core_duration pause_estimator::expected_remaining(const service_name& tool, core_duration elapsed) const
{
    const double remaining = mean_remaining(m_histograms->for_tool(tool).pauses, seconds{elapsed}.count());
    return std::chrono::duration_cast<core_duration>(seconds{remaining});
}

} // namespace masticcourse
