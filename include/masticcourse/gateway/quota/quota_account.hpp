/// @file
/// What one gateway has drawn of one workspace's quota and may still use, and how much it asks for.
#pragma once

#include "masticcourse/gateway/quota/quota_slice.hpp"
#include "masticcourse/gateway/time.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

namespace masticcourse::gateway
{

/// Permission to send one request. It is looked at right before the request goes to a target.
struct quota_permit
{
    /// By a clock that also runs while the VM is suspended.
    time_point expires;
};

/// Portions that have been drawn, the oldest used first.
class permit_pool
{
  public:
    void add(std::uint32_t requests, time_point expires);
    /// @return permission for one request, or nothing
    [[nodiscard]] std::optional<quota_permit> take(time_point now);

  private:
    struct permit_batch
    {
        std::uint32_t requests = 0;
        time_point expires;
    };
    std::deque<permit_batch> m_batches;
};

/// How many requests of a workspace come to this gateway, so that those soon to come are asked for ahead.
class demand_rate
{
  public:
    explicit demand_rate(time_point now) : m_updated(now) {}

    void record(time_point now);
    /// @return requests that are expected within @a span
    [[nodiscard]] std::uint32_t expected(milliseconds span, time_point now) const;

  private:
    double m_recent = 0;
    time_point m_updated;
};

/// Which slices have no room, and until when.
class slice_backoffs
{
  public:
    void back_off(std::size_t slice, admission_kind kind, time_point until);
    [[nodiscard]] bool backed_off(std::size_t slice, admission_kind kind, time_point now) const;
    /// @return when the first of the slices that have no room has some again; nothing if there is none
    [[nodiscard]] std::optional<time_point> earliest_retry(admission_kind kind, time_point now) const;

  private:
    std::array<std::array<time_point, max_slices>, 2> m_until{};
};

} // namespace masticcourse::gateway
