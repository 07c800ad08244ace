/// @file
/// One slice of a workspace's quota on the gateway that holds it, with admission control for new programs.
///
/// Load pattern: a flood. One workspace sends many times its usual load, mostly first requests of new
/// programs. If requests were admitted in order of arrival, the first requests of all programs would exhaust
/// the quota and the later requests of each would be refused, so that nearly every program would fail after
/// work had been done for it. Therefore a program is charged the average number of requests per program of
/// its workspace when it starts. Only as many programs start as the quota can carry to completion, and the
/// others are refused immediately, before any work is done for them.
#pragma once

#include "masticcourse/gateway/quota/quota_terms.hpp"

#include <cstdint>

namespace masticcourse::gateway
{

/// How a request is classified for admission control.
enum class admission_kind : std::uint8_t
{
    /// The first request of a program.
    start,
    /// A request of a program in progress, or of no program.
    other,
};

/// Number of requests of each kind.
struct request_counts
{
    std::uint32_t starts = 0;
    std::uint32_t others = 0;

    [[nodiscard]] std::uint32_t of(admission_kind kind) const
    {
        return kind == admission_kind::start ? starts : others;
    }

    friend bool operator==(const request_counts&, const request_counts&) = default;
};

/// What a gateway requests from a slice.
struct slice_demand
{
    /// Requests that wait for a permit.
    request_counts waiting;
    /// Additional requests of programs in progress that are expected within the lifetime of a permit.
    std::uint32_t prefetch = 0;
};

struct slice_grant
{
    request_counts granted;
    /// Time until the slice has capacity for one more request of that kind; zero if all waiting requests of
    /// the kind were granted.
    milliseconds starts_retry_after{};
    milliseconds others_retry_after{};

    [[nodiscard]] milliseconds retry_after_for(admission_kind kind) const
    {
        return kind == admission_kind::start ? starts_retry_after : others_retry_after;
    }

    friend bool operator==(const slice_grant&, const slice_grant&) = default;
};

/// Token bucket with a steady refill rate and a bounded capacity. It starts empty: when a slice changes
/// hands, the new holder must not grant again what the previous holder has already granted.
class token_bucket
{
  public:
    explicit token_bucket(time_point now) : m_updated(now) {}

    void refill(double rate, double capacity, time_point now);
    /// The level may become negative; the deficit is refilled first.
    void take(double tokens)
    {
        m_level -= tokens;
    }
    [[nodiscard]] double level() const
    {
        return m_level;
    }
    /// @return the time until the level reaches @a tokens
    [[nodiscard]] milliseconds time_until(double tokens, double rate) const;

  private:
    double m_level = 0;
    time_point m_updated;
};

/// Average number of requests per program of a workspace, estimated from recent grants.
class program_size_estimate
{
  public:
    explicit program_size_estimate(time_point now) : m_updated(now) {}

    void record(const request_counts& granted, time_point now);
    /// @return requests per program, including its first request
    [[nodiscard]] double average() const;

  private:
    double m_starts = 0;
    double m_others = 0;
    time_point m_updated;
};

/// How new programs are admitted.
enum class program_admission : std::uint8_t
{
    /// The first request of a program is charged like any other request.
    per_request,
    /// A program is charged for its expected number of requests when it starts.
    prepaid,
};

class quota_slice
{
  public:
    /// @param acquired_at when this gateway became the holder of the slice
    explicit quota_slice(time_point acquired_at, program_admission policy = program_admission::prepaid)
        : m_policy(policy), m_acquired_at(acquired_at), m_request_tokens(acquired_at),
          m_start_tokens(acquired_at), m_program_size(acquired_at)
    {
    }

    [[nodiscard]] slice_grant grant(const slice_demand& demand, const slice_limits& limits, time_point now);

    [[nodiscard]] time_point acquired_at() const
    {
        return m_acquired_at;
    }

  private:
    [[nodiscard]] std::uint32_t grant_others(const slice_demand& demand, const slice_limits& limits);
    [[nodiscard]] std::uint32_t grant_starts(std::uint32_t waiting, const slice_limits& limits,
                                             time_point now);
    /// @return the number of tokens reserved for programs in progress
    [[nodiscard]] double in_progress_reserve(const slice_limits& limits, time_point now) const;
    [[nodiscard]] milliseconds time_until_next_start(const slice_limits& limits, time_point now) const;

    program_admission m_policy;
    time_point m_acquired_at;
    token_bucket m_request_tokens;
    /// Charged with the expected size of each program when it starts.
    token_bucket m_start_tokens;
    program_size_estimate m_program_size;
};

} // namespace masticcourse::gateway
