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
[[nodiscard]] std::size_t quota_bucket_of(const slice_name& slice);
[[nodiscard]] ownership_terms quota_ownership_terms();

/// How long a request of a program under way waits for room rather than being refused: a program ends with a
/// call that is refused twice, and bursts within a program are short. So long does any request wait for a
/// holder that is just starting again.
inline constexpr milliseconds longest_wait_for_room{1'000};

struct quota_options
{
    quota_rule rule;
    start_policy policy = start_policy::paid_ahead;
    milliseconds longest_wait = longest_wait_for_room;
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
    void draw(const workspace& owner, quota_need need, quota_callback on_result);

    /// @return whether a permit may still be used
    [[nodiscard]] bool valid(const quota_permit& permit) const
    {
        return m_awake_clock() < permit.expires;
    }

    /// Answers a peer.
    /// @return nothing if the question can't be read
    [[nodiscard]] std::optional<std::string> serve(const std::string& bytes);

  private:
    struct waiting_request
    {
        quota_need need = quota_need::other;
        /// Until then it waits for room.
        time_point until;
        quota_callback on_result;
    };
    /// A workspace's requests at this gateway.
    struct account
    {
        explicit account(time_point now) : demand(now) {}

        portion_list starts;
        portion_list others;
        demand_rate demand;
        slice_pauses pauses;
        /// Counts the questions asked.
        std::size_t turn = 0;
        std::deque<waiting_request> waiting;
        bool asking = false;
        /// The slices are asked again when one has room.
        bool retry_planned = false;
    };
    struct slice_hash
    {
        std::size_t operator()(const slice_name& it) const noexcept;
    };

    [[nodiscard]] static portion_list& portions(account& it, quota_need need);
    [[nodiscard]] static request_counts count_waiting(const account& it);
    /// Serves those who wait from what has been drawn.
    void serve_waiting(account& it);
    /// Asks one slice after the other until nobody waits, or none has room.
    void ask_next(const workspace_id& name);
    void ask(const slice_question& question, const slice_terms& terms);
    /// A holder gave no portion; @a answered tells whether it said so.
    void leave_out(const std::string& holder, const workspace_id& name, bool answered);
    void on_answer(const slice_question& question, const slice_terms& terms, time_point asked,
                   const slice_answer& answer);
    /// @return the next question for a slice that may have room for some who wait, or nothing
    [[nodiscard]] std::optional<slice_question> next_question(const workspace_id& name, const account& it,
                                                              const slice_terms& terms) const;
    /// @return those of @a waiting that the slice may have room for
    [[nodiscard]] request_counts not_paused(const account& it, std::size_t slice,
                                            const request_counts& waiting) const;
    /// No slice has room now: those who can't wait for it are refused, and for the others the slices are
    /// asked again when one has.
    void wait_for_room(const workspace_id& name, account& it, const slice_terms& limit);
    /// @return how many can be served within the longest wait: more are refused at once
    [[nodiscard]] std::ptrdiff_t most_waiting(const slice_terms& limit) const;
    void plan_retry(const workspace_id& name, account& it, milliseconds pause);
    void refuse(const workspace_id& name, const waiting_request& it, std::optional<time_point> room);
    /// The workspace has no quota any more: all may go on.
    void release_waiting(account& it);
    [[nodiscard]] slice_answer grant(const slice_question& question);
    /// The slices in the order in which this gateway asks them: its own first, the others in turn, so that
    /// all are drawn on alike.
    [[nodiscard]] std::vector<std::size_t> order(const workspace_id& name, const account& it,
                                                 std::size_t count) const;
    /// @return nothing if the workspace is not known, or has no quota
    [[nodiscard]] std::optional<slice_terms> terms(const workspace_id& name) const;
    [[nodiscard]] bool reachable(const slice_name& slice) const;

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
    std::unordered_map<slice_name, quota_slice, slice_hash> m_slices;
    /// Holders that did not answer, and until when they are left out.
    std::unordered_map<std::string, time_point> m_silent_until;
};

} // namespace masticcourse::gateway
