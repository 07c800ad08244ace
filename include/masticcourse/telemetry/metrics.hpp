/// @file
/// Counters, gauges and latency histograms of a process, exported in the Prometheus text format.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace masticcourse
{

/// Monotonically increasing counter. Thread-safe.
class counter
{
  public:
    void add(std::uint64_t n = 1)
    {
        m_value.fetch_add(n, std::memory_order_relaxed);
    }

    [[nodiscard]] std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

  private:
    std::atomic<std::uint64_t> m_value{0};
};

/// Value that can increase and decrease. Thread-safe.
class gauge
{
  public:
    void set(std::int64_t value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    void add(std::int64_t n)
    {
        m_value.fetch_add(n, std::memory_order_relaxed);
    }

    [[nodiscard]] std::int64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

  private:
    std::atomic<std::int64_t> m_value{0};
};

/// Histogram of durations with logarithmic buckets from 10 microseconds to 1,000 seconds. Thread-safe.
class latency_histogram
{
  public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    latency_histogram(latency_histogram&&) = delete;
    latency_histogram& operator=(latency_histogram&&) = delete;

    void record(std::chrono::microseconds elapsed);

    /// Cumulative bucket.
    struct bucket
    {
        std::chrono::microseconds upper{};
        /// Number of durations less than or equal to @a upper.
        std::uint64_t cumulative = 0;
    };

    /// @return the cumulative buckets; durations above the last bucket are included only in count()
    [[nodiscard]] std::vector<bucket> buckets() const;
    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] std::chrono::microseconds sum() const;

    /// @param q between 0 and 1
    /// @return the upper bound of the bucket that contains the quantile, or zero if the histogram is empty
    [[nodiscard]] std::chrono::microseconds quantile(double q) const;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

struct metric_label
{
    std::string key;
    std::string value;
    friend bool operator==(const metric_label&, const metric_label&) = default;
};

/// Owns the metrics of a process. Returned references are valid for the lifetime of the registry. Lookups
/// take a lock and updates don't, so callers should keep the reference.
class metrics_registry
{
  public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;
    metrics_registry(metrics_registry&&) = delete;
    metrics_registry& operator=(metrics_registry&&) = delete;

    /// Returns the metric with this name and these labels, and creates it if it doesn't exist.
    /// @param name the metric name, such as `masticcourse_calls_total`
    /// @param help one-line description; the text of the first registration is used
    /// @throws std::logic_error if @a name is already registered with a different type
    counter& get_counter(const std::string& name, const std::string& help,
                         const std::vector<metric_label>& labels = {});
    gauge& get_gauge(const std::string& name, const std::string& help,
                     const std::vector<metric_label>& labels = {});
    latency_histogram& get_histogram(const std::string& name, const std::string& help,
                                     const std::vector<metric_label>& labels = {});

    /// @return all metrics in the Prometheus text format
    [[nodiscard]] std::string render() const;

  private:
    struct state;
    mutable std::mutex m_mutex;
    std::unique_ptr<state> m_state;
};

} // namespace masticcourse
