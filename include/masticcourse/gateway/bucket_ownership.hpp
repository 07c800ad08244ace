/// @file
/// Exclusive ownership of a fixed number of buckets, for grants that only one gateway may make at a time. One
/// row in the store names the gateway incarnation that holds each bucket.
///
/// - Buckets are taken and released by compare-and-set on the row version only, so the row never names two
///   incarnations for a bucket, however long one of them was suspended or partitioned.
/// - An incarnation inherits the buckets of earlier ones on its VM. First it claims them in the row. One that
///   was in the row before, and finds a later incarnation there under its address, has been replaced: it uses
///   no bucket any more, and never takes one again. A holder that cannot read the row stops by itself before
///   the delay after a claim is over (see `ownership_terms::max_row_age`).
/// - Where a bucket may be taken over without its holder's consent, it is held under a lease. The holder
///   renews the lease in the row, and stops using the bucket if the lease expires; others take the bucket
///   over after a longer time without an observed renewal. Each side uses its own clock only.
/// - VMs with little CPU take no buckets while there are others.
/// - Reads and writes are spread over an interval that grows with the number of gateways. Otherwise hundreds
///   of gateways that start together would overload the row and its partition with conflicts.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/ownership_row.hpp"
#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/row_fault_log.hpp"
#include "masticcourse/gateway/row_store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

/// Conditions under which a bucket is taken over from a holder that has not released it.
struct lease_terms
{
    /// The holder stops using the bucket this long after it sent its last successful renewal.
    seconds duration{20};
    /// Other gateways take the bucket over after this long without an observed renewal.
    seconds takeover_timeout{30};
};

struct ownership_terms
{
    /// The table that contains the row.
    std::string table;
    std::size_t buckets = 0;
    /// How long its claim must be in the row before an incarnation takes the buckets of earlier ones on its
    /// VM.
    seconds inheritance_delay{};
    /// The holder stops using its buckets this long after it sent the last successful call that showed it the
    /// row. It must be shorter than the inheritance delay by the time for which what it granted may be in
    /// use.
    std::optional<seconds> max_row_age;
    /// Without a lease, a bucket belongs to its holder until a later incarnation on the same VM inherits it.
    std::optional<lease_terms> lease;
};

class bucket_ownership
{
  public:
    /// @param boottime_clock clock that also advances while the VM is suspended; used for the holder's side
    /// of a lease and for the age of the row
    bucket_ownership(ownership_terms terms, row_store& store, const peer_directory& peers,
                     gateway_incarnation self, delay_function delay, clock_function clock,
                     clock_function boottime_clock, random_seed seed);

    /// Starts to take a share of the buckets. Further calls have no effect.
    void start();

    /// Stops taking buckets, and releases each bucket held once the store is reachable and
    /// @a is_bucket_idle reports that nothing is outstanding for it. While the store is unreachable, the
    /// buckets stay in use, since no other gateway could take them.
    void leave(std::function<bool(std::size_t)> is_bucket_idle);

    [[nodiscard]] const gateway_incarnation& self() const
    {
        return m_self;
    }
    /// @return whether the row names this incarnation as the holder
    [[nodiscard]] bool is_holder(std::size_t bucket) const;
    /// @return whether this incarnation is the holder and may use the bucket: it has neither been replaced
    /// nor started to release it, and its lease and its view of the row are valid
    [[nodiscard]] bool may_use(std::size_t bucket) const;
    /// @return when this incarnation became the holder of a bucket that it holds; state from an earlier time
    /// as the holder is invalid
    [[nodiscard]] time_point held_since(std::size_t bucket) const
    {
        return m_held_since[bucket].value();
    }
    /// @return the address of the bucket's holder, if known
    [[nodiscard]] std::optional<std::string> holder_of(std::size_t bucket) const;
    /// Whether this incarnation is leaving and has released all buckets that it can.
    [[nodiscard]] bool release_finished() const;

  private:
    /// The last observed renewal count of an incarnation, and when it was first observed.
    struct observed_renewal
    {
        std::uint64_t count = 0;
        time_point since;
    };

    [[nodiscard]] bool holds_any_bucket() const;
    /// Reads the row and writes the changes that this incarnation wants.
    void reconcile();
    /// Schedules the next call of `reconcile`, replacing any call scheduled before.
    void schedule_reconcile(milliseconds delay);
    /// @param sent_at when the call that returned the row was sent
    void apply_row(const std::optional<stored_row>& row, time_point sent_at);
    /// Adopts the row as read or written, and what follows from it.
    void set_row(ownership_row row, row_version version, time_point sent_at);
    /// Updates whether this incarnation is known to the row, and whether another one has replaced it.
    void update_succession();
    /// Updates since when the row has had this incarnation's claim.
    void update_claim();
    [[nodiscard]] bool is_claimant() const;
    /// @return the other incarnations at this address that hold a bucket
    [[nodiscard]] std::set<std::string> other_holders_here(const ownership_row& row) const;
    /// Claims the buckets of earlier incarnations, or removes a claim that has been met.
    void update_claim_in(ownership_row& next) const;
    /// @return how long a holder may use its buckets without renewing its lease, or without reading the row;
    /// empty if there is no limit, or no bucket is held
    [[nodiscard]] std::optional<seconds> max_unconfirmed_use() const;
    /// Updates since when each bucket is held.
    void update_held_since();
    /// Records when the renewal count of each holder last changed.
    void update_observed_renewals();
    /// @return the row to write, or empty if the row needs no change
    [[nodiscard]] std::optional<ownership_row> desired_row() const;
    [[nodiscard]] ownership_row row_without_idle_buckets() const;
    [[nodiscard]] ownership_row row_with_fair_share() const;
    /// Counts a renewal by this incarnation, and removes the counts of incarnations that hold no buckets.
    void add_renewal(ownership_row& next) const;
    [[nodiscard]] bool renewal_due() const;
    [[nodiscard]] std::size_t fair_share() const;
    /// @return the interval in which each gateway accesses the row once: proportional to the number of
    /// gateways, but at least @a min_interval
    [[nodiscard]] milliseconds scaled_interval(milliseconds min_interval) const;
    [[nodiscard]] milliseconds random_delay(milliseconds min_delay, milliseconds max_delay);
    /// Schedules the next regular read of the row.
    void schedule_poll();
    /// Schedules a retry after a failed write.
    void schedule_retry();
    /// Whether @a holder is an earlier incarnation on this VM, and this one may take its buckets.
    [[nodiscard]] bool inherits(const gateway_incarnation& holder) const;
    [[nodiscard]] bool can_take(const std::optional<gateway_incarnation>& holder) const;
    void write(const ownership_row& next);
    void on_written(const ownership_row& next, time_point sent_at, const transaction_reply& reply);

    ownership_terms m_terms;
    row_store& m_store;
    const peer_directory& m_peers;
    gateway_incarnation m_self;
    delay_function m_delay;
    clock_function m_clock;
    clock_function m_boottime_clock;
    time_point m_started;
    bool m_running = false;
    ownership_row m_row;
    row_version m_version = 0;
    row_fault_log m_faults;
    /// Empty for buckets that this incarnation does not hold.
    std::vector<std::optional<time_point>> m_held_since;
    std::map<std::string, observed_renewal> m_observed_renewals;
    time_point m_lease_expiry{};
    /// When the last successful call was sent that showed the row; boot time.
    time_point m_row_confirmed_at{};
    std::optional<time_point> m_claimed_since;
    /// The row has named this incarnation as a holder or a claimant.
    bool m_known_to_row = false;
    /// The incarnations at this address that the row named before it named this one.
    std::set<std::string> m_predecessors;
    /// A later incarnation on this VM is in the row.
    bool m_replaced = false;
    /// Set once this incarnation is leaving.
    std::function<bool(std::size_t)> m_is_bucket_idle;
    /// A release was sent to the store. It may take effect at any later time, so no bucket is used any more,
    /// whatever the reply was.
    bool m_release_attempted = false;
    /// Id of the last scheduled call of `reconcile`; earlier ones are ignored.
    std::uint64_t m_reconcile_id = 0;
    std::minstd_rand m_random;
};

} // namespace masticcourse::gateway
