/// @file
/// Permits that one gateway has acquired for one workspace, its demand estimate, and its backoff per slice.
#pragma once

#include "masticcourse/gateway/quota/quota_slice.hpp"
#include "masticcourse/gateway/time.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

namespace masticcourse::gateway
{

/// Permission to send one request. Its expiry is checked immediately before the request is sent to a target.
struct quota_permit
{
    /// Measured by the boottime clock, which keeps running while the VM is suspended.
    time_point expires;
};

/// Permits acquired in batches; the oldest batch is used first.
class permit_pool
{
  public:
    void add(std::uint32_t requests, time_point expires);
    /// @return a permit for one request, or `std::nullopt` if no unexpired permit is left
    [[nodiscard]] std::optional<quota_permit> take(time_point now);

  private:
    struct permit_batch
    {
        std::uint32_t requests = 0;
        time_point expires;
    };
    std::deque<permit_batch> m_batches;
};

/// Estimates the arrival rate of a workspace's requests at this gateway, to size prefetched batches of
/// permits.
class demand_rate
{
  public:
    explicit demand_rate(time_point now) : m_updated(now) {}

    void record(time_point now);
    /// @return the number of requests expected within @a span
    [[nodiscard]] std::uint32_t expected(milliseconds span, time_point now) const;

  private:
    double m_recent = 0;
    time_point m_updated;
};

/// For each slice and kind of request, the time until which the slice is not asked because it has no
/// capacity.
class slice_backoffs
{
  public:
    void back_off(std::size_t slice, admission_kind kind, time_point until);
    [[nodiscard]] bool backed_off(std::size_t slice, admission_kind kind, time_point now) const;
    /// @return the earliest end of a backoff among all slices, or `std::nullopt` if no slice is backed off
    [[nodiscard]] std::optional<time_point> earliest_retry(admission_kind kind, time_point now) const;

  private:
    std::array<std::array<time_point, max_slices>, 2> m_until{};
};

} // namespace masticcourse::gateway
