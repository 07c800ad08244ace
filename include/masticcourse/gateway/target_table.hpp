/// @file
/// The targets as this process knows them: who is there, how busy, how sound. Fed by the registry of targets,
/// by the load that answers tell, and by this process's own requests.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

/// What a target is registered under. It may start again under its id, and then knows nothing of before.
using target_id = strong_string<struct gateway_target_id_tag>;

/// One life of a target.
struct target_instance
{
    target_id id;
    /// When it started; the epoch if it does not say.
    wall_time started{};

    friend bool operator==(const target_instance&, const target_instance&) = default;
};

/// A target as it registered itself.
struct target_record
{
    target_id id;
    /// When this life of it started; the epoch if it does not say.
    wall_time started{};
    service_name service;
    /// "ip:port"
    std::string address;
    failure_domain_name domain;
    /// Requests that it runs at once.
    std::uint32_t slots = 1;
    /// It takes no new requests.
    bool draining = false;
    /// How much longer it is slow after its start.
    milliseconds warmup_remaining{0};

    [[nodiscard]] target_instance instance() const
    {
        return {id, started};
    }

    friend bool operator==(const target_record&, const target_record&) = default;
};

/// The load that a target stated in an answer.
struct target_load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// How a request ended, as far as it tells how sound its target is.
enum class health_signal : std::uint8_t
{
    /// It answered as it should.
    healthy,
    /// It refused without running the request.
    refused,
    /// Another target, or another life of it, answers at its address: this life has ended.
    replaced,
    /// No connection could be opened.
    unreachable,
    /// The answer was missing, broken off or no answer.
    failed,
    /// The request ended for reasons of ours or the caller's.
    none,
};

/// One row of the table.
struct target
{
    target_record record;
    /// Own requests under way.
    std::uint32_t in_flight = 0;
    /// Requests of others, as of the last report.
    std::uint32_t external_load = 0;
    time_point reported_at{};
    /// Failures since the last sound answer.
    std::uint32_t failures = 0;
    /// Avoided until then.
    time_point backoff_until{};
    /// Its entry vanished while the registry was not to be trusted; it counts as gone then.
    std::optional<time_point> expires_at;
    /// This life has ended, as its address told: it takes no requests until its entry changes.
    bool replaced = false;

    /// Requests that it runs or has waiting, as estimated.
    [[nodiscard]] double load(time_point now) const;
    /// `load` in batches: 1 is a full one.
    [[nodiscard]] double utilization(time_point now) const;
};

class target_table
{
  public:
    /// @name What the registry says
    /// @{

    /// Adds or changes an entry. A later life under the same id starts afresh: nothing that is known of the
    /// earlier one holds. An entry of an earlier life than the known one changes nothing.
    /// @return whether anything but its load changed
    bool put(const target_record& record);

    /// The entry can't be read: whoever wrote it, it names no target to use, and the entry before it does not
    /// hold any more.
    /// @return whether it was known
    bool withdraw(const target_id& id);

    /// An entry vanished: at once, or after @a grace where it may have lapsed while its target lives.
    /// @return whether it was known
    bool remove(const target_id& id, time_point now, milliseconds grace);

    /// The whole registry as of one moment holds @a present: all others have vanished.
    void retain(const std::vector<target_id>& present, time_point now, milliseconds grace);

    /// The registry could not be asked for @a time: that does not count against the grace of entries that
    /// vanished. Only such time is added, so that a path that comes and goes keeps no entry of a target that
    /// has left.
    void extend_grace(duration time);

    /// Forgets targets whose time has passed.
    /// @return those forgotten
    std::vector<target_id> expire(time_point now);
    /// @}

    /// @name Requests of this process
    /// @{
    void begin(const target_instance& instance);
    /// What comes of an earlier life than the present one changes nothing.
    void end(const target_instance& instance, health_signal signal, time_point now);
    void report(const target_instance& instance, const target_load_report& load, time_point now);
    /// @}

    /// @return the targets of @a service that take new requests, sound or not, in order of their ids
    [[nodiscard]] std::vector<const target*> candidates(const service_name& service) const;
    [[nodiscard]] const target* find(const target_id& id) const;
    [[nodiscard]] std::size_t size() const
    {
        return m_targets.size();
    }

  private:
    /// @return the row of that life, or null if it is not the present one
    [[nodiscard]] target* find_instance(const target_instance& instance);

    std::unordered_map<target_id, target> m_targets;
};

} // namespace masticcourse::gateway
