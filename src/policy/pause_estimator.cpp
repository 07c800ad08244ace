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

constexpr unsigned bins = 48;
constexpr double shortest_seconds = 0.001;
constexpr double longest_seconds = 7200;
/// Pauses of a tool before its own histogram is trusted.
constexpr double fewest_pauses = 20;
/// A histogram's old pauses lose half of their weight each time that it has counted so many.
constexpr double pauses_before_halving = 4096;
/// Beyond so many tools, new ones share the histogram over all.
constexpr std::size_t most_tools = 256;

pause_histogram make_pauses()
{
    return bh::make_histogram(log_axis{bins, shortest_seconds, longest_seconds});
}

struct pause_record
{
    pause_histogram pauses = make_pauses();
    double counted = 0;

    void add(double pause)
    {
        if (counted >= pauses_before_halving)
        {
            pauses *= 0.5;
            counted *= 0.5;
        }
        pauses(pause);
        counted += 1;
    }
};

/// The mean of what is left, over all bins that reach past @a elapsed.
double mean_rest(const pause_histogram& pauses, double elapsed)
{
    double weight = 0;
    double sum = 0;
    for (const auto& bin : bh::indexed(pauses, bh::coverage::all))
    {
        const double middle = std::clamp(bin.bin().center(), shortest_seconds, longest_seconds);
        if (middle > elapsed)
        {
            weight += *bin;
            sum += *bin * (middle - elapsed);
        }
    }
    return weight > 0 ? sum / weight : elapsed;
}

} // namespace

struct pause_estimator::tables
{
    std::unordered_map<service_name, pause_record> by_tool;
    pause_record all;

    [[nodiscard]] const pause_record& of(const service_name& tool) const
    {
        const auto it = by_tool.find(tool);
        return it != by_tool.end() && it->second.counted >= fewest_pauses ? it->second : all;
    }
};

pause_estimator::pause_estimator() : m_tables(std::make_unique<tables>()) {}

pause_estimator::~pause_estimator() = default;
pause_estimator::pause_estimator(pause_estimator&&) noexcept = default;
pause_estimator& pause_estimator::operator=(pause_estimator&&) noexcept = default;

void pause_estimator::record(const service_name& tool, core_duration pause)
{
    const double length = seconds{pause}.count();
    m_tables->all.add(length);
    if (m_tables->by_tool.contains(tool) || m_tables->by_tool.size() < most_tools)
    {
        m_tables->by_tool[tool].add(length);
    }
}

core_duration pause_estimator::expected_rest(const service_name& tool, core_duration elapsed) const
{
    const double rest = mean_rest(m_tables->of(tool).pauses, seconds{elapsed}.count());
    return std::chrono::duration_cast<core_duration>(seconds{rest});
}

} // namespace masticcourse
