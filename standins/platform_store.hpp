/// @file
/// In-memory stand-in for the platform's table service and object store, with fault injection.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/store/store_op.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace masticcourse::standins
{

/// Injected faults; in effect until they are replaced.
struct store_faults
{
    /// Every operation is refused without effect.
    bool outage = false;
    /// Delay of each response. Applied only by the HTTP server; in virtual time the test applies it.
    std::chrono::milliseconds delay{};
    /// Number of subsequent operations that take effect but whose responses are lost.
    std::uint32_t lose_answers = 0;
    /// Rate limits above which operations are refused. No value means no limit.
    std::optional<double> writes_per_second;
    std::optional<double> reads_per_second;
};

struct store_stats
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    /// Operations refused because of an outage or a rate limit.
    std::uint64_t refused = 0;
    std::uint64_t lost_answers = 0;
};

/// Rate limiter that allows bursts of up to one second's worth of operations.
class token_bucket
{
  public:
    /// @return whether one more operation is within @a per_second at @a now
    [[nodiscard]] bool try_acquire(double per_second, core_time now);

  private:
    double m_tokens = 0;
    std::optional<core_time> m_last_refill;
};

/// In-memory table and object store. Not thread-safe.
class platform_store
{
  public:
    /// Executes an operation.
    /// @param now current time, used for rate limits; must not decrease between calls
    [[nodiscard]] store_reply apply(const store_op& op, core_time now);

    [[nodiscard]] const store_faults& faults() const;
    void set_faults(const store_faults& faults);
    [[nodiscard]] const store_stats& stats() const;

  private:
    [[nodiscard]] bool admit(bool write, core_time now);
    [[nodiscard]] store_reply execute(const table_get& op);
    [[nodiscard]] store_reply execute(const table_put& op);
    [[nodiscard]] store_reply execute(const table_list& op);
    [[nodiscard]] store_reply execute(const object_create& op);
    [[nodiscard]] store_reply execute(const object_get& op);
    [[nodiscard]] store_reply execute(const object_delete& op);
    [[nodiscard]] store_reply execute(const object_list& op);

    struct row
    {
        std::string value;
        row_version version = 0;
    };

    std::map<std::string, row> m_rows;
    std::map<std::string, std::string> m_objects;
    store_faults m_faults;
    store_stats m_stats;
    token_bucket m_write_bucket;
    token_bucket m_read_bucket;
};

} // namespace masticcourse::standins
