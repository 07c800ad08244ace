/// @file
/// Who holds what one gateway alone may give out: one row of the store names, for each of a fixed number of
/// buckets, the life of the gateway that holds it.
///
/// - A bucket is taken and given up under the row's version only, so no two lives hold one at a time, however
///   long one of them slept or was cut off.
/// - Where a bucket may change hands without its holder, it is held under a lease: the holder renews it in
///   the row and stops by itself when it could not; others take it once they have seen no renewal for
///   longer. Each side looks at its own clock only.
/// - VMs with little processor time take no buckets while there are others.
/// - Looks and tries are spread over a time that grows with the number of gateways: otherwise hundreds that
///   start together would keep the row, and the partition that it lies in, full of conflicts.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/row_fault_log.hpp"
#include "masticcourse/gateway/row_store.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace masticcourse::gateway
{

/// One life of a gateway.
struct gateway_incarnation
{
    /// Where peers reach it; the same for all lives on one VM.
    std::string address;
    /// New at each start.
    std::string incarnation;

    friend bool operator==(const gateway_incarnation&, const gateway_incarnation&) = default;
};

/// The buckets; nothing in one that is free.
using bucket_table = std::vector<std::optional<gateway_incarnation>>;

struct ownership_row
{
    bucket_table buckets;
    /// How often each life has renewed its lease.
    std::map<std::string, std::uint64_t> renewals;

    friend bool operator==(const ownership_row&, const ownership_row&) = default;
};

[[nodiscard]] std::string encode_ownership(const ownership_row& row);
/// @return nothing if @a text is no such row with @a buckets buckets
[[nodiscard]] std::optional<ownership_row> decode_ownership(const std::string& text, std::size_t buckets);

/// How a bucket passes on from a holder that does not give it up.
struct lease_terms
{
    /// The holder stops so long after it asked for its last renewal that was written.
    seconds duration{20};
    /// Others take the bucket when they have seen no renewal for so long.
    seconds takeover_timeout{30};
};

struct ownership_terms
{
    /// Where the row lies.
    std::string table;
    std::size_t buckets = 0;
    /// How long a life runs until it may take the buckets of earlier ones on its VM.
    seconds inheritance_delay{};
    /// Without one, a bucket stays its holder's until a later life on the VM inherits it.
    std::optional<lease_terms> lease;
};

class bucket_ownership
{
  public:
    /// @param awake_clock also runs while the VM is suspended; the holder's side of a lease
    bucket_ownership(ownership_terms terms, row_store& store, const peer_directory& peers,
                     gateway_incarnation self, delay_function delay, clock_function clock,
                     clock_function boottime_clock);

    /// Takes a share of the buckets from now on. Later calls change nothing.
    void start();

    /// Takes no more buckets, and gives up those held as soon as the store is there and @a idle says that
    /// nothing is open for a bucket. While the store is away they are used on: nobody else could take them.
    void leave(std::function<bool(std::size_t)> is_bucket_idle);

    [[nodiscard]] const gateway_incarnation& self() const
    {
        return m_self;
    }
    /// @return whether the bucket is this life's
    [[nodiscard]] bool owns(std::size_t bucket) const;
    /// @return whether this life holds the bucket and may use it: it has not begun to give it up, and its
    /// lease is valid
    [[nodiscard]] bool holds(std::size_t bucket) const;
    /// @return when this life took a bucket that is its own: what it knew of it from an earlier time is void
    [[nodiscard]] time_point held_since(std::size_t bucket) const
    {
        return m_held_since[bucket].value();
    }
    /// @return where the holder of a bucket is reached, as far as it is known
    [[nodiscard]] std::optional<std::string> holder_of(std::size_t bucket) const;
    /// Whether this life is leaving and has given up all that it can.
    [[nodiscard]] bool release_finished() const;

  private:
    /// What was last seen of a life's renewals, and since when.
    struct observed_renewal
    {
        std::uint64_t count = 0;
        time_point since;
    };

    void reconcile();
    /// Plans the next step, in place of one planned before.
    void schedule_reconcile(milliseconds delay);
    void apply_row(const std::optional<stored_row>& row);
    /// Keeps account of which buckets this life has taken.
    void update_held_since();
    /// Keeps account of when each holder was last seen to renew its lease.
    void update_observed_renewals();
    /// @return the row as this life would have it, or nothing if that is how it is
    [[nodiscard]] std::optional<ownership_row> desired_row() const;
    [[nodiscard]] ownership_row row_without_idle_buckets() const;
    [[nodiscard]] ownership_row row_with_fair_share() const;
    /// Counts this life's renewal, and forgets those of lives that hold nothing.
    void add_renewal(ownership_row& next) const;
    [[nodiscard]] bool renewal_due() const;
    [[nodiscard]] std::size_t fair_share() const;
    /// @return how long one turn of all gateways at the row takes, @a least on a small site
    [[nodiscard]] milliseconds scaled_interval(milliseconds min_interval) const;
    [[nodiscard]] milliseconds random_delay(milliseconds min_delay, milliseconds max_delay);
    /// Plans the next look at the row.
    void schedule_poll();
    /// Plans another try at the row.
    void schedule_retry();
    /// Whether an earlier life on this VM left the bucket, long enough ago.
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
    /// Empty for buckets that are not this life's.
    std::vector<std::optional<time_point>> m_held_since;
    std::map<std::string, observed_renewal> m_observed_renewals;
    /// The lease is valid until then.
    time_point m_lease_expiry{};
    /// Set once this life is leaving.
    std::function<bool(std::size_t)> m_is_bucket_idle;
    /// Giving up has been asked of the store. It may be done at any time from then on, so no bucket is used
    /// any more, whatever the answer was.
    bool m_release_attempted = false;
    /// Numbers the steps planned; only the last one is taken.
    std::uint64_t m_reconcile_id = 0;
    std::minstd_rand m_random{std::random_device{}()};
};

} // namespace masticcourse::gateway
