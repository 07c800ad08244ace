#include "masticcourse/gateway/feed/table_follower.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// How long one call waits for changes. A longer wait lets an unresponsive connection hide changes for
/// longer, a shorter one costs more calls.
constexpr milliseconds feed_timeout{1'000};
/// How long a source may wait before it replies: longer than feed_timeout, so that it replies earlier only if
/// the roots hear from the store in time.
constexpr milliseconds relay_timeout{1'250};
/// Knowledge older than this means that a root has not heard from the store in time, so this gateway finds
/// out whether it can reach the store itself.
constexpr milliseconds late_confirmation{1'150};
/// Knowledge older than this means that the source has lost its own source: it is confirmed once per
/// feed_timeout, and one call may fail in between.
constexpr milliseconds max_source_age{2'000};
/// How long the store is followed after a source was found to be out of date.
constexpr milliseconds source_avoidance{2'000};
/// The interval between two calls to the store of a gateway whose sources are out of date. Its growth with
/// the number of gateways bounds the calls of all of them together.
constexpr milliseconds min_fallback_interval{1'000};
constexpr std::chrono::microseconds fallback_interval_per_gateway{2'000};
/// Delay before a failed call is retried, doubled with each failure; also the maximum delay of a change after
/// the store has recovered.
constexpr milliseconds initial_retry_delay{100};
constexpr milliseconds max_retry_delay{400};
/// A source that failed to reach the store within this time may have found an outage that affects this
/// gateway too.
constexpr milliseconds recent_failure{1'500};
/// How long a gateway that has read nothing yet lets others wait, and how long a starting gateway waits for
/// its sources before it reads the store: after a restart of many gateways the upper ones have usually read
/// the table by then.
constexpr milliseconds initial_read_time{300};
constexpr milliseconds initial_patience{1'000};
/// Age that is stated while nothing has been read yet.
constexpr milliseconds unknown_age = std::chrono::hours{24};

milliseconds to_milliseconds(duration it)
{
    return std::chrono::floor<milliseconds>(std::clamp<duration>(it, duration{}, unknown_age));
}

std::string to_log_text(duration age)
{
    return age < unknown_age ? std::to_string(to_milliseconds(age).count()) : "unknown";
}

} // namespace

table_follower::table_follower(feed_context context, followed_table table, follower_callbacks callbacks)
    : m_context(std::move(context)), m_table(std::move(table)), m_callbacks(std::move(callbacks)),
      m_retry_delay(initial_retry_delay), m_random(derive_seed(m_context.seed, m_table.name).value)
{
}

void table_follower::start()
{
    m_next_store_call = m_context.clock() + initial_patience;
    follow();
}

void table_follower::follow()
{
    const auto now = m_context.clock();
    const auto source = m_context.peers.feed_source(now);
    const bool through_peer = source && now >= m_store_until;
    note_source(through_peer ? *source : "store");
    if (through_peer)
    {
        follow_peer(*source);
    }
    else if (m_loaded)
    {
        follow_store();
    }
    else
    {
        read();
    }
}

void table_follower::follow_later(milliseconds delay)
{
    m_pause = delay;
    m_context.delay(delay, [this] { follow(); });
}

void table_follower::note_source(const std::string& source)
{
    if (std::exchange(m_source, source) == source)
    {
        return;
    }
    log_event(event_id::feed_source_changed, {{"source", source},
                                              {"table", m_table.name},
                                              {"age_ms", to_log_text(age())},
                                              {"sources", std::to_string(m_context.peers.feed_sources())},
                                              {"gateways", std::to_string(m_context.peers.size() + 1)}});
}

milliseconds table_follower::wait_after_pause(milliseconds wait) const
{
    return std::max(milliseconds{0}, wait - m_pause);
}

void table_follower::follow_peer(const std::string& address)
{
    const relay_request request{
        .table = m_table.name, .after = m_version, .wait = wait_after_pause(relay_timeout)};
    m_context.relay(address, encode(request),
                    [this, address](const std::optional<std::string>& bytes) { on_relayed(address, bytes); });
}

void table_follower::on_relayed(const std::string& address, const std::optional<std::string>& bytes)
{
    const auto reply = bytes ? decode_relay_reply(*bytes, m_table.name) : std::nullopt;
    if (!reply)
    {
        m_context.peers.failed(address, m_context.clock());
        log_event(event_id::feed_source_failed, {{"source", address},
                                                 {"table", m_table.name},
                                                 {"why", "no reply"},
                                                 {"age_ms", to_log_text(age())}});
        follow();
        return;
    }
    m_context.peers.responded(address);
    m_feed_failed_at = m_context.boottime_clock() - reply->since_failure;
    const bool late = reply->version > 0 && reply->age > late_confirmation;
    if (reply->since_failure < recent_failure || late)
    {
        m_context.store.check_path();
    }
    const auto version_before = m_version;
    if (reply->snapshot && (!m_loaded || reply->version >= m_version))
    {
        load(reply->rows, reply->version);
    }
    else if (m_loaded && !reply->snapshot)
    {
        apply(reply->rows, reply->version);
    }
    if (reply->age > max_source_age || !m_loaded)
    {
        on_stale_source(address, reply->age);
        return;
    }
    if (reply->version >= version_before)
    {
        confirm(m_context.boottime_clock() - reply->age);
    }
    follow_later(reply->rows.empty() ? milliseconds{0} : m_table.min_interval);
}

void table_follower::on_stale_source(const std::string& address, milliseconds age)
{
    const auto now = m_context.clock();
    if (now < m_next_store_call)
    {
        follow_later(initial_retry_delay);
        return;
    }
    const auto interval =
        m_context.peers.scaled_interval(min_fallback_interval, fallback_interval_per_gateway);
    m_next_store_call = now + interval / 2 + random_part_of(interval / 2);
    m_store_until = now + source_avoidance;
    log_event(event_id::feed_source_failed, {{"source", address},
                                             {"table", m_table.name},
                                             {"why", "out of date"},
                                             {"age_ms", std::to_string(age.count())}});
    follow();
}

void table_follower::follow_store()
{
    m_context.store.follow(m_table.name, m_version, wait_after_pause(feed_timeout),
                           [this](const feed_reply& reply) { on_feed(reply); });
}

void table_follower::on_feed(const feed_reply& reply)
{
    switch (reply.outcome)
    {
    case feed_outcome::failed:
        on_store_failed();
        return;
    case feed_outcome::history_truncated:
        read();
        return;
    case feed_outcome::changed:
        break;
    }
    const bool changed = apply(reply.rows, reply.version);
    confirm(m_context.boottime_clock());
    follow_later(changed ? m_table.min_interval : milliseconds{0});
}

void table_follower::read()
{
    if (!m_table.partitioned)
    {
        read_partitions({""}, {});
        return;
    }
    m_context.store.list_partitions(m_table.name,
                                    [this](partitions_reply reply)
                                    {
                                        if (!reply.answered)
                                        {
                                            on_store_failed();
                                            return;
                                        }
                                        auto& partitions = reply.partitions;
                                        // Read in any case, as the version is known only after one query.
                                        if (std::ranges::find(partitions, "") == partitions.end())
                                        {
                                            partitions.emplace_back();
                                        }
                                        read_partitions(std::move(partitions), {.version = reply.version});
                                    });
}

void table_follower::read_partitions(std::vector<std::string> partitions, query_reply so_far)
{
    if (partitions.empty())
    {
        load(so_far.rows, so_far.version);
        confirm(m_context.boottime_clock());
        follow_later(milliseconds{0});
        return;
    }
    const row_query query{.table = m_table.name, .partition = partitions.back()};
    partitions.pop_back();
    m_context.store.query(query,
                          [this, partitions = std::move(partitions),
                           so_far = std::move(so_far)](const query_reply& reply) mutable
                          {
                              if (!reply.answered)
                              {
                                  on_store_failed();
                                  return;
                              }
                              // The feed must continue from the first version to include changes made between
                              // two reads.
                              so_far.version = so_far.version > 0 ? so_far.version : reply.version;
                              std::ranges::copy(reply.rows, std::back_inserter(so_far.rows));
                              read_partitions(std::move(partitions), std::move(so_far));
                          });
}

void table_follower::on_store_failed()
{
    m_store_until = {};
    m_feed_failed_at = m_context.boottime_clock();
    if (!std::exchange(m_store_failing, true))
    {
        // The followers learn at once that the store may be away.
        reply_to_all();
    }
    const auto delay = m_retry_delay / 2 + random_part_of(m_retry_delay / 2);
    m_retry_delay = std::min(m_retry_delay * 2, max_retry_delay);
    follow_later(delay);
}

void table_follower::load(const std::vector<stored_row>& rows, row_version version)
{
    m_mirror.load(rows, version);
    m_version = std::max(m_version, version);
    m_loaded = true;
    m_callbacks.on_snapshot(rows);
}

bool table_follower::apply(const std::vector<stored_row>& rows, row_version version)
{
    bool changed = false;
    for (const auto& it : rows)
    {
        if (m_mirror.apply(it, version))
        {
            m_callbacks.on_change(it);
            changed = true;
        }
    }
    m_version = std::max(m_version, version);
    return changed;
}

void table_follower::confirm(time_point at)
{
    if (m_context.record_age && m_confirmed_at)
    {
        m_context.record_age(m_table.name, age());
    }
    m_confirmed_at = std::max(at, m_confirmed_at.value_or(at));
    m_store_failing = false;
    m_retry_delay = initial_retry_delay;
    reply_to_all();
}

duration table_follower::time_since_feed_failure() const
{
    return m_feed_failed_at ? m_context.boottime_clock() - *m_feed_failed_at : duration{unknown_age};
}

duration table_follower::time_since_failure() const
{
    return std::min(m_context.store.time_since_failure(), time_since_feed_failure());
}

duration table_follower::age() const
{
    return m_confirmed_at ? m_context.boottime_clock() - *m_confirmed_at : duration::max();
}

bool table_follower::out_of_date() const
{
    return m_confirmed_at && m_context.boottime_clock() - *m_confirmed_at > max_source_age;
}

void table_follower::serve(const relay_request& request, reply_callback on_reply)
{
    if (m_loaded && m_mirror.last_change() > request.after)
    {
        on_reply(reply_after(request.after));
        return;
    }
    const auto id = ++m_last_waiting;
    m_waiting.emplace(id, waiting_peer{request.after, std::move(on_reply)});
    m_context.delay(std::min(request.wait, m_loaded ? relay_timeout : initial_read_time),
                    [this, id]
                    {
                        if (const auto it = m_waiting.extract(id))
                        {
                            it.mapped().on_reply(reply_after(it.mapped().after));
                        }
                    });
}

void table_follower::reply_to_all()
{
    for (const auto& [id, it] : std::exchange(m_waiting, {}))
    {
        it.on_reply(reply_after(it.after));
    }
}

relay_reply table_follower::reply_after(row_version after) const
{
    relay_reply reply{.version = m_version, .age = unknown_age};
    if (m_confirmed_at)
    {
        reply.age = to_milliseconds(m_context.boottime_clock() - *m_confirmed_at);
    }
    reply.since_failure = to_milliseconds(time_since_feed_failure());
    if (!m_loaded)
    {
        return reply;
    }
    auto changes = after > 0 ? m_mirror.changes_after(after) : std::nullopt;
    reply.snapshot = !changes;
    reply.rows = changes ? std::move(*changes) : m_mirror.rows();
    return reply;
}

milliseconds table_follower::random_part_of(milliseconds interval)
{
    return milliseconds{std::uniform_int_distribution<milliseconds::rep>{
        0, std::max<milliseconds::rep>(0, interval.count())}(m_random)};
}

} // namespace masticcourse::gateway
