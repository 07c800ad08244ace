#include "masticcourse/telemetry/metrics.hpp"

#include <boost/histogram.hpp>

#include <cmath>
#include <cstddef>

namespace masticcourse
{

namespace
{

namespace bh = boost::histogram;

constexpr unsigned bucket_count = 64;
constexpr double min_us = 10;
constexpr double max_us = 1e9;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using thread_safe_count = bh::accumulators::count<std::uint64_t, true>;
using histogram_type = bh::histogram<std::tuple<log_axis>, bh::dense_storage<thread_safe_count>>;

histogram_type make_histogram()
{
    return bh::make_histogram_with(bh::dense_storage<thread_safe_count>{},
                                   log_axis{bucket_count, min_us, max_us});
}

} // namespace

struct latency_histogram::state
{
    histogram_type histogram = make_histogram();
    std::atomic<std::uint64_t> count{0};
    std::atomic<std::int64_t> sum_us{0};
};

latency_histogram::latency_histogram() : m_state(std::make_unique<state>()) {}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(std::chrono::microseconds elapsed)
{
    m_state->histogram(static_cast<double>(elapsed.count()));
    m_state->sum_us.fetch_add(elapsed.count(), std::memory_order_relaxed);
    m_state->count.fetch_add(1, std::memory_order_relaxed);
}

std::vector<latency_histogram::bucket> latency_histogram::buckets() const
{
    const auto& axis = m_state->histogram.axis(0);
    std::vector<bucket> rows;
    std::uint64_t cumulative = 0;
    for (int n = -1; n < axis.size(); ++n)
    {
        cumulative += m_state->histogram.at(n).value();
        const auto upper = static_cast<std::int64_t>(std::llround(axis.value(n + 1)));
        rows.push_back({std::chrono::microseconds{upper}, cumulative});
    }
    return rows;
}

std::uint64_t latency_histogram::count() const
{
    return m_state->count.load(std::memory_order_relaxed);
}

std::chrono::microseconds latency_histogram::sum() const
{
    return std::chrono::microseconds{m_state->sum_us.load(std::memory_order_relaxed)};
}

std::chrono::microseconds latency_histogram::quantile(double q) const
{
    const auto rows = buckets();
    const auto rank = std::ceil(q * static_cast<double>(count()));
    if (rank <= 0)
    {
        return {};
    }
    for (const auto& it : rows)
    {
        if (static_cast<double>(it.cumulative) >= rank)
        {
            return it.upper;
        }
    }
    return rows.back().upper;
}

} // namespace masticcourse
