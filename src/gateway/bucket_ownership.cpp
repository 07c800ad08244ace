#include "masticcourse/gateway/bucket_ownership.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

const std::string ownership_key = "buckets";

/// Delay before the first read of the row.
constexpr milliseconds initial_poll_delay{300};
/// Delay before the row is created: gateways that start together should know each other by then, so that none
/// takes all buckets.
constexpr milliseconds initial_write_delay{4'000};
/// Mean interval between two reads on a small site. A released bucket stays free for up to about this long.
constexpr milliseconds min_poll_interval{2'000};
/// Maximum delay before a retry after a conflict or a failure on a small site.
constexpr milliseconds min_backoff{150};
/// All gateways access the same row. Intervals grow by this much per gateway, so that the load on the row is
/// independent of their number.
constexpr milliseconds interval_per_gateway{20};
/// Interval between two checks for releasable buckets while leaving.
constexpr milliseconds leaving_poll_interval{50};

/// A lease is renewed after half of its duration, which leaves time to retry a failed renewal several times.
constexpr int renewals_per_lease = 2;
/// A holder looks at the row at least this many times in the time for which it may use its buckets without a
/// renewal or a look, however many gateways there are. The number of holders is limited by that of buckets.
constexpr int polls_per_unconfirmed_use = 5;
/// The same for retries after conflicts and failures: a renewal is due after half of the lease at the
/// earliest, and several of them may meet conflicts.
constexpr int retries_per_unconfirmed_use = 20;

} // namespace

bucket_ownership::bucket_ownership(ownership_terms terms, row_store& store, const peer_directory& peers,
                                   gateway_incarnation self, delay_function delay, clock_function clock,
                                   clock_function boottime_clock, random_seed seed)
    : m_terms(std::move(terms)), m_store(store), m_peers(peers), m_self(std::move(self)),
      m_delay(std::move(delay)), m_clock(std::move(clock)), m_boottime_clock(std::move(boottime_clock)),
      m_started(m_clock()), m_row{.buckets = bucket_table(m_terms.buckets)}, m_held_since(m_terms.buckets),
      m_random(seed.value)
{
}

void bucket_ownership::start()
{
    if (!std::exchange(m_running, true))
    {
        m_started = m_clock();
        schedule_reconcile(initial_poll_delay);
    }
}

milliseconds bucket_ownership::scaled_interval(milliseconds min_interval) const
{
    return m_peers.scaled_interval(min_interval, interval_per_gateway);
}

milliseconds bucket_ownership::random_delay(milliseconds min_delay, milliseconds max_delay)
{
    std::uniform_int_distribution<milliseconds::rep> delay(min_delay.count(), max_delay.count());
    return milliseconds{delay(m_random)};
}

void bucket_ownership::schedule_poll()
{
    if (m_is_bucket_idle)
    {
        schedule_reconcile(leaving_poll_interval);
        return;
    }
    const auto until_initial_write =
        std::chrono::ceil<milliseconds>(initial_write_delay - (m_clock() - m_started));
    if (m_version == 0 && until_initial_write > milliseconds{0})
    {
        schedule_reconcile(until_initial_write + random_delay(milliseconds{0}, scaled_interval(min_backoff)));
        return;
    }
    auto interval = scaled_interval(min_poll_interval);
    if (const auto limit = max_unconfirmed_use())
    {
        interval = std::min<milliseconds>(interval, *limit / polls_per_unconfirmed_use);
    }
    // Jitter keeps gateways that start together from reading at the same time.
    schedule_reconcile(random_delay(interval * 3 / 4, interval * 5 / 4));
}

void bucket_ownership::schedule_retry()
{
    auto backoff = scaled_interval(min_backoff);
    if (const auto limit = max_unconfirmed_use())
    {
        backoff = std::min<milliseconds>(backoff, *limit / retries_per_unconfirmed_use);
    }
    schedule_reconcile(random_delay(milliseconds{1}, backoff));
}

void bucket_ownership::leave(std::function<bool(std::size_t)> is_bucket_idle)
{
    m_is_bucket_idle = std::move(is_bucket_idle);
    if (m_running)
    {
        schedule_reconcile(milliseconds{0});
    }
}

bool bucket_ownership::is_holder(std::size_t bucket) const
{
    return m_row.buckets[bucket] == m_self;
}

bool bucket_ownership::holds_any_bucket() const
{
    return std::ranges::find(m_row.buckets, std::optional{m_self}) != m_row.buckets.end();
}

bool bucket_ownership::may_use(std::size_t bucket) const
{
    const bool leaving = m_is_bucket_idle && m_store.reachable();
    const auto now = m_boottime_clock();
    const bool lease_valid = !m_terms.lease || now < m_lease_expiry;
    const bool row_valid = !m_terms.max_row_age || now - m_row_confirmed_at < *m_terms.max_row_age;
    return is_holder(bucket) && lease_valid && row_valid && !leaving && !m_release_attempted && !m_replaced;
}

std::optional<seconds> bucket_ownership::max_unconfirmed_use() const
{
    if (!holds_any_bucket())
    {
        return std::nullopt;
    }
    return m_terms.lease ? std::optional{m_terms.lease->duration} : m_terms.max_row_age;
}

std::optional<std::string> bucket_ownership::holder_of(std::size_t bucket) const
{
    const auto& holder = m_row.buckets[bucket];
    return holder ? std::optional{holder->address} : std::nullopt;
}

bool bucket_ownership::release_finished() const
{
    return m_is_bucket_idle && desired_row() == std::nullopt;
}

void bucket_ownership::schedule_reconcile(milliseconds delay)
{
    m_delay(delay,
            [this, reconcile_id = ++m_reconcile_id]
            {
                if (reconcile_id == m_reconcile_id)
                {
                    reconcile();
                }
            });
}

void bucket_ownership::reconcile()
{
    if (m_is_bucket_idle && !desired_row())
    {
        // No bucket can be released now, or none is left.
        schedule_reconcile(leaving_poll_interval);
        return;
    }
    m_store.query({.table = m_terms.table},
                  [this, sent_at = m_boottime_clock()](const query_reply& reply)
                  {
                      if (reply.answered)
                      {
                          apply_row(reply.rows.empty() ? std::nullopt : std::optional{reply.rows.front()},
                                    sent_at);
                      }
                      const auto next = reply.answered ? desired_row() : std::nullopt;
                      if (next)
                      {
                          write(*next);
                      }
                      else
                      {
                          schedule_poll();
                      }
                  });
}

void bucket_ownership::apply_row(const std::optional<stored_row>& row, time_point sent_at)
{
    if (sent_at < m_row_confirmed_at)
    {
        // A later call has been answered first.
        return;
    }
    const ownership_row empty{.buckets = bucket_table(m_terms.buckets)};
    auto read = row ? decode_ownership(row->value, m_terms.buckets) : std::optional{empty};
    if (!read)
    {
        m_faults.report(row->name, row->version, "not a valid bucket ownership row");
        // While the row cannot be decoded, no gateway holds a bucket or takes one.
        read = ownership_row{.buckets = bucket_table(m_terms.buckets, gateway_incarnation{})};
    }
    set_row(std::move(*read), row ? row->version : 0, sent_at);
}

void bucket_ownership::set_row(ownership_row row, row_version version, time_point sent_at)
{
    m_row = std::move(row);
    m_version = version;
    m_row_confirmed_at = sent_at;
    update_succession();
    update_claim();
    update_held_since();
    update_observed_renewals();
}

bool bucket_ownership::is_claimant() const
{
    const auto it = m_row.claims.find(m_self.address);
    return it != m_row.claims.end() && it->second == m_self.incarnation;
}

std::set<std::string> bucket_ownership::other_holders_here(const ownership_row& row) const
{
    std::set<std::string> others;
    for (const auto& it : row.buckets)
    {
        if (it && it->address == m_self.address && it->incarnation != m_self.incarnation)
        {
            others.insert(it->incarnation);
        }
    }
    return others;
}

void bucket_ownership::update_succession()
{
    auto others = other_holders_here(m_row);
    const auto claim = m_row.claims.find(m_self.address);
    if (claim != m_row.claims.end() && !is_claimant())
    {
        others.insert(claim->second);
    }
    for (const auto& it : others)
    {
        if (!m_known_to_row)
        {
            m_predecessors.insert(it);
        }
        else if (!m_predecessors.contains(it) && !std::exchange(m_replaced, true))
        {
            log_event(event_id::buckets_lost, {{"table", m_terms.table},
                                               {"address", m_self.address},
                                               {"incarnation", m_self.incarnation},
                                               {"successor", it}});
        }
    }
    m_known_to_row = m_known_to_row || is_claimant() || holds_any_bucket();
}

void bucket_ownership::update_claim()
{
    m_claimed_since = is_claimant() ? std::optional{m_claimed_since.value_or(m_clock())} : std::nullopt;
}

void bucket_ownership::update_held_since()
{
    const auto now = m_clock();
    for (std::size_t bucket = 0; bucket < m_held_since.size(); ++bucket)
    {
        auto& since = m_held_since[bucket];
        since = is_holder(bucket) ? std::optional{since.value_or(now)} : std::nullopt;
    }
}

void bucket_ownership::update_observed_renewals()
{
    const auto now = m_clock();
    std::map<std::string, observed_renewal> observed;
    for (const auto& holder : m_row.buckets)
    {
        if (!holder)
        {
            continue;
        }
        const auto renewal = m_row.renewals.find(holder->incarnation);
        const auto count = renewal != m_row.renewals.end() ? renewal->second : 0;
        const auto before = m_observed_renewals.find(holder->incarnation);
        const bool known = before != m_observed_renewals.end() && before->second.count == count;
        observed[holder->incarnation] =
            known ? before->second : observed_renewal{.count = count, .since = now};
    }
    m_observed_renewals = std::move(observed);
}

std::size_t bucket_ownership::fair_share() const
{
    // Requests wait for the holder's reply, so only VMs with enough CPU hold buckets.
    const auto eligible = m_peers.eligible_gateways();
    return m_peers.is_eligible() ? (m_terms.buckets + eligible - 1) / eligible : 0;
}

bool bucket_ownership::inherits(const gateway_incarnation& holder) const
{
    const bool predecessor = holder.address == m_self.address && holder.incarnation != m_self.incarnation;
    const bool claimed = m_claimed_since && m_clock() - *m_claimed_since >= m_terms.inheritance_delay;
    return predecessor && (claimed || m_terms.inheritance_delay == seconds{0});
}

bool bucket_ownership::can_take(const std::optional<gateway_incarnation>& holder) const
{
    if (!holder || inherits(*holder))
    {
        return true;
    }
    const auto now = m_clock();
    const auto renewal = m_observed_renewals.find(holder->incarnation);
    const bool readable = !holder->incarnation.empty();
    return m_terms.lease && readable && *holder != m_self && renewal != m_observed_renewals.end() &&
           now - renewal->second.since >= m_terms.lease->takeover_timeout;
}

std::optional<ownership_row> bucket_ownership::desired_row() const
{
    const bool too_early = m_version == 0 && m_clock() - m_started < initial_write_delay;
    if (!m_is_bucket_idle && (too_early || m_replaced))
    {
        return std::nullopt;
    }
    auto next = m_is_bucket_idle ? row_without_idle_buckets() : row_with_fair_share();
    const bool changed = next != m_row;
    if (!changed && !renewal_due())
    {
        return std::nullopt;
    }
    if (m_terms.lease)
    {
        add_renewal(next);
    }
    return next;
}

ownership_row bucket_ownership::row_without_idle_buckets() const
{
    auto next = m_row;
    for (std::size_t bucket = 0; bucket < next.buckets.size(); ++bucket)
    {
        if (is_holder(bucket) && m_is_bucket_idle(bucket))
        {
            next.buckets[bucket].reset();
        }
    }
    return next;
}

ownership_row bucket_ownership::row_with_fair_share() const
{
    auto next = m_row;
    auto held = static_cast<std::size_t>(std::ranges::count(next.buckets, std::optional{m_self}));
    const auto share = fair_share();
    for (auto& it : next.buckets)
    {
        // Other gateways cannot use the buckets of an earlier incarnation on this VM, so these are taken even
        // beyond the fair share.
        const bool inherited = it && inherits(*it);
        if (inherited || (held < share && can_take(it)))
        {
            it = m_self;
            ++held;
        }
    }
    update_claim_in(next);
    return next;
}

void bucket_ownership::update_claim_in(ownership_row& next) const
{
    if (other_holders_here(next).empty())
    {
        next.claims.erase(m_self.address);
    }
    else
    {
        next.claims[m_self.address] = m_self.incarnation;
    }
}

bool bucket_ownership::renewal_due() const
{
    if (!m_terms.lease || m_is_bucket_idle)
    {
        return false;
    }
    return holds_any_bucket() &&
           m_lease_expiry - m_boottime_clock() < m_terms.lease->duration / renewals_per_lease;
}

void bucket_ownership::add_renewal(ownership_row& next) const
{
    std::set<std::string> holders;
    for (const auto& it : next.buckets)
    {
        if (it)
        {
            holders.insert(it->incarnation);
        }
    }
    std::erase_if(next.renewals, [&](const auto& it) { return !holders.contains(it.first); });
    if (holders.contains(m_self.incarnation))
    {
        ++next.renewals[m_self.incarnation];
    }
}

void bucket_ownership::write(const ownership_row& next)
{
    m_release_attempted = m_is_bucket_idle != nullptr;
    const row_name name{m_terms.table, ownership_key};
    const row_transaction transaction{.conditions = {{name, m_version}},
                                      .puts = {{name, encode_ownership(next)}}};
    m_store.transact(transaction, [this, next, sent_at = m_boottime_clock()](const transaction_reply& reply)
                     { on_written(next, sent_at, reply); });
}

void bucket_ownership::on_written(const ownership_row& next, time_point sent_at,
                                  const transaction_reply& reply)
{
    if (reply.outcome != store_outcome::done)
    {
        // If the write took effect after all, the next read shows it.
        schedule_retry();
        return;
    }
    const bool changed = next.buckets != m_row.buckets;
    set_row(next, reply.version, sent_at);
    if (m_terms.lease)
    {
        m_lease_expiry = sent_at + m_terms.lease->duration;
    }
    if (changed)
    {
        log_event(event_id::buckets_changed,
                  {{"table", m_terms.table},
                   {"held", std::to_string(std::ranges::count(next.buckets, std::optional{m_self}))},
                   {"leaving", m_is_bucket_idle ? "yes" : "no"},
                   {"row_version", std::to_string(reply.version)}});
    }
    schedule_poll();
}

} // namespace masticcourse::gateway
