#include "masticcourse/gateway/bucket_ownership.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

const std::string ownership_key = "buckets";

/// Until the first look at the row.
constexpr milliseconds first_look{300};
/// Until the row is written if there is none: gateways that start together are then on each other's list,
/// which is read every three seconds, and none takes the buckets of all.
constexpr milliseconds first_write{4'000};
/// Between two looks at least: a bucket that was given up is taken that much later.
constexpr milliseconds least_look_period{2'000};
/// Until another try after a conflict or a failure, at most, on a small site.
constexpr milliseconds least_backoff{150};
/// Looks and tries of all gateways fall on one row. Each takes its turn in this much time for every gateway,
/// so that the row's load is the same however many there are.
constexpr milliseconds turn_per_gateway{20};
/// Between two looks whether nothing is open any more, while leaving.
constexpr milliseconds leaving_period{50};

/// A lease is renewed when half of its time has passed: a renewal that fails is tried again several times.
constexpr int renewals_per_lease = 2;

nlohmann::json to_json(const bucket_table& buckets)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& it : buckets)
    {
        list.push_back(it ? nlohmann::json{it->address, it->life} : nlohmann::json{});
    }
    return list;
}

std::optional<bucket_table> to_buckets(const nlohmann::json& list, std::size_t count)
{
    if (!list.is_array() || list.size() != count)
    {
        return std::nullopt;
    }
    bucket_table buckets;
    for (const auto& it : list)
    {
        const bool held = it.is_array() && it.size() == 2 && it[0].is_string() && it[1].is_string();
        if (!held && !it.is_null())
        {
            return std::nullopt;
        }
        buckets.push_back(
            held ? std::optional{gateway_life{it[0].get<std::string>(), it[1].get<std::string>()}}
                 : std::nullopt);
    }
    return buckets;
}

} // namespace

std::string encode_ownership(const ownership_row& row)
{
    auto buckets = to_json(row.buckets);
    // Rows without leases are a plain list.
    return row.renewals.empty() ? buckets.dump()
                                : nlohmann::json{{"buckets", buckets}, {"renewals", row.renewals}}.dump();
}

std::optional<ownership_row> decode_ownership(const std::string& text, std::size_t buckets)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    const bool leased = document.is_object() && document.contains("buckets") && document.contains("renewals");
    auto table = to_buckets(leased ? document["buckets"] : document, buckets);
    if (!table)
    {
        return std::nullopt;
    }
    ownership_row row{.buckets = std::move(*table)};
    if (leased)
    {
        const auto& counts = document["renewals"];
        const bool valid = counts.is_object() && std::ranges::all_of(counts, [](const auto& it)
                                                                     { return it.is_number_unsigned(); });
        if (!valid)
        {
            return std::nullopt;
        }
        row.renewals = counts.get<std::map<std::string, std::uint64_t>>();
    }
    return row;
}

bucket_ownership::bucket_ownership(ownership_terms terms, row_store& store, const peer_directory& peers,
                                   gateway_life self, delay_function delay, clock_function clock,
                                   clock_function awake_clock)
    : m_terms(std::move(terms)), m_store(store), m_peers(peers), m_self(std::move(self)),
      m_delay(std::move(delay)), m_clock(std::move(clock)), m_awake_clock(std::move(awake_clock)),
      m_started(m_clock()), m_row{.buckets = bucket_table(m_terms.buckets)}, m_held_since(m_terms.buckets)
{
}

void bucket_ownership::start()
{
    if (!std::exchange(m_running, true))
    {
        m_started = m_clock();
        step_later(first_look);
    }
}

milliseconds bucket_ownership::turn_time(milliseconds least) const
{
    return m_peers.period(least, turn_per_gateway);
}

milliseconds bucket_ownership::random_pause(milliseconds least, milliseconds most)
{
    std::uniform_int_distribution<milliseconds::rep> pause(least.count(), most.count());
    return milliseconds{pause(m_random)};
}

void bucket_ownership::look_later()
{
    if (m_idle)
    {
        step_later(leaving_period);
        return;
    }
    const auto until_first_write = std::chrono::ceil<milliseconds>(first_write - (m_clock() - m_started));
    if (m_version == 0 && until_first_write > milliseconds{0})
    {
        step_later(until_first_write + random_pause(milliseconds{0}, turn_time(least_backoff)));
        return;
    }
    const auto turn = turn_time(least_look_period);
    // Gateways that start together should not look together.
    step_later(random_pause(turn * 3 / 4, turn * 5 / 4));
}

void bucket_ownership::try_later()
{
    step_later(random_pause(milliseconds{1}, turn_time(least_backoff)));
}

void bucket_ownership::leave(std::function<bool(std::size_t)> idle)
{
    m_idle = std::move(idle);
    if (m_running)
    {
        step_later(milliseconds{0});
    }
}

bool bucket_ownership::is_own(std::size_t bucket) const
{
    return m_row.buckets[bucket] == m_self;
}

bool bucket_ownership::holds(std::size_t bucket) const
{
    const bool leaving = m_idle && m_store.reachable();
    const bool valid = !m_terms.lease || m_awake_clock() < m_valid_until;
    return is_own(bucket) && valid && !leaving && !m_gave_up;
}

std::optional<std::string> bucket_ownership::holder_of(std::size_t bucket) const
{
    const auto& holder = m_row.buckets[bucket];
    return holder ? std::optional{holder->address} : std::nullopt;
}

bool bucket_ownership::may_go() const
{
    return m_idle && wish() == std::nullopt;
}

void bucket_ownership::step_later(milliseconds pause)
{
    m_delay(pause,
            [this, planned = ++m_planned]
            {
                if (planned == m_planned)
                {
                    step();
                }
            });
}

void bucket_ownership::step()
{
    if (m_idle && !wish())
    {
        // Nothing to give up yet, or any more.
        step_later(leaving_period);
        return;
    }
    m_store.query({.table = m_terms.table},
                  [this](const query_reply& reply)
                  {
                      if (reply.answered)
                      {
                          adopt(reply.rows.empty() ? std::nullopt : std::optional{reply.rows.front()});
                      }
                      const auto next = reply.answered ? wish() : std::nullopt;
                      if (next)
                      {
                          write(*next);
                      }
                      else
                      {
                          look_later();
                      }
                  });
}

void bucket_ownership::adopt(const std::optional<stored_row>& row)
{
    m_version = row ? row->version : 0;
    const ownership_row empty{.buckets = bucket_table(m_terms.buckets)};
    auto read = row ? decode_ownership(row->value, m_terms.buckets) : std::optional{empty};
    if (!read)
    {
        m_faults.report(row->name, row->version, "no table of buckets");
        // Nobody holds a bucket of a row that can't be read, and nobody takes one.
        read = ownership_row{.buckets = bucket_table(m_terms.buckets, gateway_life{})};
    }
    m_row = std::move(*read);
    note_own();
    note_renewals();
}

void bucket_ownership::note_own()
{
    const auto now = m_clock();
    for (std::size_t bucket = 0; bucket < m_held_since.size(); ++bucket)
    {
        auto& since = m_held_since[bucket];
        since = is_own(bucket) ? std::optional{since.value_or(now)} : std::nullopt;
    }
}

void bucket_ownership::note_renewals()
{
    const auto now = m_clock();
    std::map<std::string, seen_renewal> seen;
    for (const auto& holder : m_row.buckets)
    {
        if (!holder)
        {
            continue;
        }
        const auto renewal = m_row.renewals.find(holder->life);
        const auto count = renewal != m_row.renewals.end() ? renewal->second : 0;
        const auto before = m_seen.find(holder->life);
        const bool known = before != m_seen.end() && before->second.count == count;
        seen[holder->life] = known ? before->second : seen_renewal{.count = count, .since = now};
    }
    m_seen = std::move(seen);
}

std::size_t bucket_ownership::fair_share() const
{
    // Requests wait for a holder's answer, so it must have the time to give it.
    const auto helpers = m_peers.helpers();
    return m_peers.is_helper() ? (m_terms.buckets + helpers - 1) / helpers : 0;
}

bool bucket_ownership::inherits(const gateway_life& holder) const
{
    const bool predecessor = holder.address == m_self.address && holder.life != m_self.life;
    return predecessor && m_clock() - m_started >= m_terms.inherited_after;
}

bool bucket_ownership::may_take(const std::optional<gateway_life>& holder) const
{
    if (!holder || inherits(*holder))
    {
        return true;
    }
    const auto now = m_clock();
    const auto renewal = m_seen.find(holder->life);
    const bool readable = !holder->life.empty();
    return m_terms.lease && readable && *holder != m_self && renewal != m_seen.end() &&
           now - renewal->second.since >= m_terms.lease->abandoned;
}

std::optional<ownership_row> bucket_ownership::wish() const
{
    if (!m_idle && m_version == 0 && m_clock() - m_started < first_write)
    {
        return std::nullopt;
    }
    auto next = m_idle ? without_idle() : with_fair_share();
    const bool changed = next.buckets != m_row.buckets;
    if (!changed && !renewal_due())
    {
        return std::nullopt;
    }
    if (m_terms.lease)
    {
        renew_in(next);
    }
    return next;
}

ownership_row bucket_ownership::without_idle() const
{
    auto next = m_row;
    for (std::size_t bucket = 0; bucket < next.buckets.size(); ++bucket)
    {
        if (is_own(bucket) && m_idle(bucket))
        {
            next.buckets[bucket].reset();
        }
    }
    return next;
}

ownership_row bucket_ownership::with_fair_share() const
{
    auto next = m_row;
    auto held = static_cast<std::size_t>(std::ranges::count(next.buckets, std::optional{m_self}));
    const auto share = fair_share();
    for (auto& it : next.buckets)
    {
        // What an earlier life here held is of no use to others: it is taken beyond the share as well.
        const bool inherited = it && inherits(*it);
        if (inherited || (held < share && may_take(it)))
        {
            it = m_self;
            ++held;
        }
    }
    return next;
}

bool bucket_ownership::renewal_due() const
{
    if (!m_terms.lease || m_idle)
    {
        return false;
    }
    const bool holder = std::ranges::count(m_row.buckets, std::optional{m_self}) > 0;
    return holder && m_valid_until - m_awake_clock() < m_terms.lease->valid / renewals_per_lease;
}

void bucket_ownership::renew_in(ownership_row& next) const
{
    std::set<std::string> holders;
    for (const auto& it : next.buckets)
    {
        if (it)
        {
            holders.insert(it->life);
        }
    }
    std::erase_if(next.renewals, [&](const auto& it) { return !holders.contains(it.first); });
    if (holders.contains(m_self.life))
    {
        ++next.renewals[m_self.life];
    }
}

void bucket_ownership::write(const ownership_row& next)
{
    m_gave_up = m_idle != nullptr;
    const row_name name{m_terms.table, ownership_key};
    const row_transaction transaction{.conditions = {{name, m_version}},
                                      .puts = {{name, encode_ownership(next)}}};
    m_store.transact(transaction, [this, next, asked = m_awake_clock()](const transaction_reply& reply)
                     { on_written(next, asked, reply); });
}

void bucket_ownership::on_written(const ownership_row& next, time_point asked, const transaction_reply& reply)
{
    if (reply.outcome != store_outcome::done)
    {
        // What is not known to be done shows with the next look.
        try_later();
        return;
    }
    const bool changed = next.buckets != m_row.buckets;
    m_row = next;
    m_version = reply.version;
    note_own();
    note_renewals();
    if (m_terms.lease)
    {
        m_valid_until = asked + m_terms.lease->valid;
    }
    if (changed)
    {
        log_event(event_id::buckets_changed,
                  {{"table", m_terms.table},
                   {"held", std::to_string(std::ranges::count(next.buckets, std::optional{m_self}))},
                   {"leaving", m_idle ? "yes" : "no"},
                   {"row_version", std::to_string(reply.version)}});
    }
    look_later();
}

} // namespace masticcourse::gateway
