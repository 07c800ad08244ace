/// @file
/// One slice of a workspace's quota at the gateway that holds it, and whom it serves first.
///
/// Load pattern: a flood. One workspace sends many times its usual, and most of what it sends begins new
/// programs. Served as they come, the first requests of all programs use the quota up, and the later ones of
/// each are refused: nearly every program fails after work was done for it. So a program pays for all that
/// programs of its workspace usually send when it begins: as many begin as the quota can carry to their end,
/// and those that are refused are told at once, before anything was done for them.
#pragma once

#include "masticcourse/gateway/quota/quota_terms.hpp"

#include <cstdint>

namespace masticcourse::gateway
{

/// What a request is to its program.
enum class admission_kind : std::uint8_t
{
    /// It begins a program.
    start,
    /// It belongs to a program under way, or to none.
    other,
};

/// Requests by what they are to their programs.
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

/// What a gateway asks of a slice.
struct slice_demand
{
    /// Requests that wait.
    request_counts waiting;
    /// Further ones, of programs under way, that are expected within a portion's life.
    std::uint32_t prefetch = 0;
};

struct slice_grant
{
    request_counts granted;
    /// Until the slice has room for one more of each kind; zero where all that waited was granted.
    milliseconds starts_retry_after{};
    milliseconds others_retry_after{};

    [[nodiscard]] milliseconds retry_after_for(admission_kind kind) const
    {
        return kind == admission_kind::start ? starts_retry_after : others_retry_after;
    }

    friend bool operator==(const slice_grant&, const slice_grant&) = default;
};

/// Tokens that come in at a steady rate and are saved up to a bound. It starts empty: a slice that changes
/// hands must not hand out again what its holder before did.
class token_bucket
{
  public:
    explicit token_bucket(time_point now) : m_updated(now) {}

    void refill(double rate, double capacity, time_point now);
    /// The level may go below zero: a debt that is paid off first.
    void take(double tokens)
    {
        m_level -= tokens;
    }
    [[nodiscard]] double level() const
    {
        return m_level;
    }
    /// @return how long until the level is @a tokens
    [[nodiscard]] milliseconds time_until(double tokens, double rate) const;

  private:
    double m_level = 0;
    time_point m_updated;
};

/// How many requests a program of a workspace sends on average, from what was granted lately.
class program_size_estimate
{
  public:
    explicit program_size_estimate(time_point now) : m_updated(now) {}

    void record(const request_counts& granted, time_point now);
    /// @return requests a program, its first one included
    [[nodiscard]] double average() const;

  private:
    double m_starts = 0;
    double m_others = 0;
    time_point m_updated;
};

/// How new programs are let in.
enum class program_admission : std::uint8_t
{
    /// A program's first request is one like any other.
    per_request,
    /// It pays for the whole program.
    prepaid,
};

class quota_slice
{
  public:
    /// @param since when the slice came to this gateway
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
    /// @return what is kept for programs under way
    [[nodiscard]] double in_progress_reserve(const slice_limits& limits, time_point now) const;
    [[nodiscard]] milliseconds time_until_next_start(const slice_limits& limits, time_point now) const;

    program_admission m_policy;
    time_point m_acquired_at;
    token_bucket m_request_tokens;
    /// What programs pay for when they begin.
    token_bucket m_start_tokens;
    program_size_estimate m_program_size;
};

} // namespace masticcourse::gateway
