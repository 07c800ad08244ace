/// @file
/// Quotas as requests use them: each draws a permit of its workspace before it is sent. The gateways that
/// hold the slices hand out portions of them; this one may be among them.
///
/// - A portion counts from before it was asked for, by this gateway's own clock, and lapses: a gateway that
/// is frozen or cut off stops by itself. No two clocks are compared.
/// - What is asked for ahead is bounded by what came lately, so while there is room the messages are at most
/// one for each request. A slice without room is asked again after a time that grows with the number of
/// gateways, so a flood costs its holder the same however many gateways it comes through.
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

/// Why no permit was given.
struct quota_refusal
{
    /// The quota is used up; otherwise no holder of a slice could be asked.
    bool used_up = false;
    milliseconds retry_after{};
};

using quota_result = std::variant<quota_permit, quota_refusal>;
using quota_callback = std::function<void(const quota_result&)>;

/// The buckets into which slices fall: enough that hundreds of gateways share the work of holding them.
inline constexpr std::size_t quota_bucket_count = 64;
[[nodiscard]] std::size_t quota_bucket_of(const slice_id& slice);
[[nodiscard]] ownership_terms quota_ownership_terms();

/// How long a request of a program under way waits for room rather than being refused: a program ends with a
/// call that is refused twice, and bursts within a program are short. So long does any request wait for a
/// holder that is just starting again.
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
    /// @param clock       of slices held here
    /// @param awake_clock also runs while the VM is suspended; of portions
    workspace_quotas(quota_options options, bucket_ownership& buckets, const peer_directory& peers,
                     peer_call call, delay_function delay, clock_function clock, clock_function awake_clock,
                     metrics_registry& metrics);

    void set_config(config_ptr config);

    /// Asks for a permit of a workspace that has a quota. Calls back once, at once if one is left of a
    /// portion drawn before. A request that begins a program is refused as soon as no slice has
    /// room for it.
    void acquire(const workspace& owner, admission_kind kind, quota_callback on_result);

    /// @return whether a permit may still be used
    [[nodiscard]] bool valid(const quota_permit& permit) const
    {
        return m_awake_clock() < permit.expires;
    }

    /// Answers a peer.
    /// @return nothing if the question can't be read
    [[nodiscard]] std::optional<std::string> handle_peer_request(const std::string& bytes);

  private:
    struct waiting_request
    {
        admission_kind kind = admission_kind::other;
        /// Until then it waits for room.
        time_point until;
        quota_callback on_result;
    };
    /// A workspace's requests at this gateway.
    struct account
    {
        explicit account(time_point now) : demand(now) {}

        permit_pool starts;
        permit_pool others;
        demand_rate demand;
        slice_backoffs backoffs;
        /// Counts the questions asked.
        std::size_t round_robin_index = 0;
        std::deque<waiting_request> waiting;
        bool request_in_flight = false;
        /// The slices are asked again when one has room.
        bool retry_scheduled = false;
    };
    struct slice_hash
    {
        std::size_t operator()(const slice_id& it) const noexcept;
    };

    [[nodiscard]] static permit_pool& permits_for(account& it, admission_kind kind);
    [[nodiscard]] static request_counts count_waiting(const account& it);
    /// Serves those who wait from what has been drawn.
    void grant_waiting(account& it);
    /// Asks one slice after the other until nobody waits, or none has room.
    void request_next_slice(const workspace_id& name);
    void send_request(const grant_request& request, const slice_limits& limits);
    /// A holder gave no portion; @a answered tells whether it said so.
    void exclude_holder(const std::string& holder, const workspace_id& name, bool responded);
    void on_response(const grant_request& request, const slice_limits& limits, time_point sent_at,
                     const grant_response& response);
    /// @return the next question for a slice that may have room for some who wait, or nothing
    [[nodiscard]] std::optional<grant_request> next_request(const workspace_id& name, const account& it,
                                                            const slice_limits& limits) const;
    /// @return those of @a waiting that the slice may have room for
    [[nodiscard]] request_counts without_backoff(const account& it, std::size_t slice,
                                                 const request_counts& waiting) const;
    /// No slice has room now: those who can't wait for it are refused, and for the others the slices are
    /// asked again when one has.
    void wait_or_refuse(const workspace_id& name, account& it, const slice_limits& limits);
    /// @return how many can be served within the longest wait: more are refused at once
    [[nodiscard]] std::ptrdiff_t max_waiting(const slice_limits& limits) const;
    void schedule_retry(const workspace_id& name, account& it, milliseconds delay);
    void refuse(const workspace_id& name, const waiting_request& it, std::optional<time_point> retry_at);
    /// The workspace has no quota any more: all may go on.
    void admit_waiting(account& it);
    [[nodiscard]] grant_response grant_locally(const grant_request& request);
    /// The slices in the order in which this gateway asks them: its own first, the others in turn, so that
    /// all are drawn on alike.
    [[nodiscard]] std::vector<std::size_t> slice_order(const workspace_id& name, const account& it,
                                                       std::size_t count) const;
    /// @return nothing if the workspace is not known, or has no quota
    [[nodiscard]] std::optional<slice_limits> limits_for(const workspace_id& name) const;
    [[nodiscard]] bool reachable(const slice_id& slice) const;

    quota_options m_options;
    bucket_ownership& m_buckets;
    const peer_directory& m_peers;
    peer_call m_call;
    delay_function m_delay;
    clock_function m_clock;
    clock_function m_awake_clock;
    metrics_registry& m_metrics;
    config_ptr m_config;
    std::unordered_map<workspace_id, account> m_accounts;
    std::unordered_map<slice_id, quota_slice, slice_hash> m_slices;
    /// Holders that did not answer, and until when they are left out.
    std::unordered_map<std::string, time_point> m_excluded_until;
};

} // namespace masticcourse::gateway
