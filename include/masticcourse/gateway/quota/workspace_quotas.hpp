/// @file
/// Distributed enforcement of workspace quotas. Each request acquires a permit of its workspace before it is
/// sent. Permits are granted in batches by the gateways that hold the slices, which may include this gateway.
///
/// - The lifetime of a permit starts before it is requested, by the clock of the requesting gateway, so that
///   a frozen or partitioned gateway stops sending by itself. Clocks of different gateways are never
///   compared.
/// - Prefetching is bounded by recent demand, so while capacity is available there is at most one message per
///   request. A slice without capacity is asked again after a backoff that grows with the number of gateways,
///   so the load of a flood on a holder does not depend on how many gateways it arrives through.
#pragma once

#include "masticcourse/gateway/bucket_ownership.hpp"
#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/quota/quota_account.hpp"
#include "masticcourse/gateway/quota/quota_messages.hpp"
#include "masticcourse/gateway/route_table.hpp"
#include "masticcourse/telemetry/metrics.hpp"

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace masticcourse::gateway
{

/// Why no permit was granted.
struct quota_refusal
{
    /// True if the quota is exhausted; false if no holder of a slice could be reached.
    bool used_up = false;
    milliseconds retry_after{};
};

using quota_result = std::variant<quota_permit, quota_refusal>;
using quota_callback = std::function<void(const quota_result&)>;

/// Number of ownership buckets to which slices are mapped: enough that hundreds of gateways share the work of
/// holding them.
inline constexpr std::size_t quota_bucket_count = 64;
[[nodiscard]] std::size_t quota_bucket_of(const slice_id& slice);
[[nodiscard]] ownership_terms quota_ownership_terms();

/// How long a request of a program in progress waits for capacity before it is refused: a program fails when
/// one of its calls is refused twice, and bursts within a program are short. Any request waits up to this
/// long for a holder that is restarting.
inline constexpr milliseconds default_max_wait{1'000};

struct quota_options
{
    quota_rule rule;
    program_admission policy = program_admission::prepaid;
    milliseconds max_wait = default_max_wait;
};

class workspace_quotas
{
  public:
    /// @param clock       used for the slices held by this gateway
    /// @param boottime_clock keeps running while the VM is suspended; used for permits
    workspace_quotas(quota_options options, bucket_ownership& buckets, const peer_directory& peers,
                     peer_call call, delay_function delay, clock_function clock,
                     clock_function boottime_clock, metrics_registry& metrics);

    void set_config(config_ptr config);

    /// Acquires a permit of a workspace that has a quota. Calls back exactly once, and synchronously if a
    /// permit acquired earlier is left. The first request of a program is refused as soon as no slice has
    /// capacity for it.
    void acquire(const workspace& owner, admission_kind kind, quota_callback on_result);

    /// @return whether a permit may still be used
    [[nodiscard]] bool valid(const quota_permit& permit) const
    {
        return m_boottime_clock() < permit.expires;
    }

    /// Handles a grant request from a peer.
    /// @return the encoded response, or `std::nullopt` if the request is malformed
    [[nodiscard]] std::optional<std::string> handle_peer_request(const std::string& bytes);

  private:
    struct waiting_request
    {
        admission_kind kind = admission_kind::other;
        /// Deadline for waiting for capacity.
        time_point until;
        quota_callback on_result;
    };
    /// State of one workspace on this gateway.
    struct account
    {
        explicit account(time_point now) : demand(now) {}

        permit_pool starts;
        permit_pool others;
        demand_rate demand;
        slice_backoffs backoffs;
        /// Number of grant requests made so far; selects the first slice of the next one.
        std::size_t round_robin_index = 0;
        std::deque<waiting_request> waiting;
        bool request_in_flight = false;
        /// A timer is set to ask the slices again.
        bool retry_scheduled = false;
    };
    struct slice_hash
    {
        std::size_t operator()(const slice_id& it) const noexcept;
    };

    [[nodiscard]] static permit_pool& permits_for(account& it, admission_kind kind);
    [[nodiscard]] static request_counts count_waiting(const account& it);
    /// Assigns acquired permits to waiting requests.
    void grant_waiting(account& it);
    /// Asks one slice after the other until no request waits or no slice has capacity.
    void request_next_slice(const workspace_id& name);
    void send_request(const grant_request& request, const slice_limits& limits);
    /// Excludes a holder that granted nothing; @a responded tells whether it replied that it does not hold
    /// the slice.
    void exclude_holder(const std::string& holder, const workspace_id& name, bool responded);
    void on_response(const grant_request& request, const slice_limits& limits, time_point sent_at,
                     const grant_response& response);
    /// @return the next request to a slice that may have capacity for some waiting requests, or
    /// `std::nullopt`
    [[nodiscard]] std::optional<grant_request> next_request(const workspace_id& name, const account& it,
                                                            const slice_limits& limits) const;
    /// @return the part of @a waiting whose kinds are not backed off for the slice
    [[nodiscard]] request_counts without_backoff(const account& it, std::size_t slice,
                                                 const request_counts& waiting) const;
    /// Called when no slice has capacity: refuses the requests that can't wait and schedules a retry for the
    /// others.
    void wait_or_refuse(const workspace_id& name, account& it, const slice_limits& limits);
    /// @return the number of requests that can be served within the maximum wait; any beyond it are refused
    /// immediately
    [[nodiscard]] std::ptrdiff_t max_waiting(const slice_limits& limits) const;
    void schedule_retry(const workspace_id& name, account& it, milliseconds delay);
    void refuse(const workspace_id& name, const waiting_request& it, std::optional<time_point> retry_at);
    /// Admits all waiting requests of a workspace that no longer has a quota.
    void admit_waiting(account& it);
    [[nodiscard]] grant_response grant_locally(const grant_request& request);
    /// @return the order in which slices are asked: slices held by this gateway first, the others by round
    /// robin, so that all are used evenly
    [[nodiscard]] std::vector<std::size_t> slice_order(const workspace_id& name, const account& it,
                                                       std::size_t count) const;
    /// @return `std::nullopt` if the workspace is unknown or has no quota
    [[nodiscard]] std::optional<slice_limits> limits_for(const workspace_id& name) const;
    [[nodiscard]] bool reachable(const slice_id& slice) const;

    quota_options m_options;
    bucket_ownership& m_buckets;
    const peer_directory& m_peers;
    peer_call m_call;
    delay_function m_delay;
    clock_function m_clock;
    clock_function m_boottime_clock;
    metrics_registry& m_metrics;
    config_ptr m_config;
    std::unordered_map<workspace_id, account> m_accounts;
    std::unordered_map<slice_id, quota_slice, slice_hash> m_slices;
    /// Holders that did not reply or did not hold a slice, and until when they are excluded.
    std::unordered_map<std::string, time_point> m_excluded_until;
};

} // namespace masticcourse::gateway
