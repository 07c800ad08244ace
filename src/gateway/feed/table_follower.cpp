#include "masticcourse/gateway/feed/table_follower.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// How long a source may wait before it replies: longer than feed_timeout, so that it replies earlier only if
/// the roots hear from the store in time.
constexpr milliseconds relay_timeout{1'250};
/// Knowledge older than this means that a root has not heard from the store in time, so this gateway finds
/// out whether it can reach the store itself.
constexpr milliseconds late_confirmation{1'150};
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

/// What is logged of a read that succeeded.
constexpr std::string_view confirmed_outcome = "confirmed";

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
    if (!m_context.attended_clock)
    {
        m_context.attended_clock = m_context.boottime_clock;
    }
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
    const bool changed = note_source(through_peer ? *source : "store");
    if (through_peer)
    {
        follow_peer(*source, changed);
    }
    else if (m_loaded)
    {
        follow_store();
    }
    else
    {
        read_whole();
    }
}

std::uint64_t table_follower::begin_call()
{
    m_awaits_read = false;
    return ++m_call;
}

table_follower::store_read table_follower::begin_read()
{
    m_reading = store_read{.number = ++m_last_read,
                           .attended = m_context.attended_clock(),
                           .sent = m_context.boottime_clock(),
                           .age = age()};
    return *m_reading;
}

void table_follower::end_read(const store_read& read, std::string_view outcome)
{
    if (m_reading && m_reading->number == read.number)
    {
        m_reading.reset();
    }
    const auto took = m_context.boottime_clock() - read.sent;
    const auto attended = m_context.attended_clock() - read.attended;
    // Reads that are in time are the usual way to follow the store.
    const bool in_time = outcome == confirmed_outcome && read.age <= max_table_age;
    if (in_time)
    {
        return;
    }
    log_event(event_id::table_read, {{"table", m_table.name},
                                     {"outcome", std::string{outcome}},
                                     {"took_ms", to_log_text(took)},
                                     {"attended_ms", to_log_text(attended)},
                                     {"age_ms", to_log_text(age())}});
}

void table_follower::follow_later(milliseconds pause)
{
    m_pause = pause;
    m_context.delay(pause,
                    [this, call = begin_call()]
                    {
                        if (is_current(call))
                        {
                            follow();
                        }
                    });
}

bool table_follower::note_source(const std::string& source)
{
    if (std::exchange(m_source, source) == source)
    {
        return false;
    }
    log_event(event_id::feed_source_changed, {{"source", source},
                                              {"table", m_table.name},
                                              {"age_ms", to_log_text(age())},
                                              {"sources", std::to_string(m_context.peers.feed_sources())},
                                              {"gateways", std::to_string(m_context.peers.size() + 1)}});
    return true;
}

void table_follower::follow_peer(const std::string& address, bool source_changed)
{
    // A source that was not followed before may know more, so it replies at once.
    const bool waits = !m_loaded || !source_changed;
    const auto wait = waits ? std::max(milliseconds{0}, relay_timeout - m_pause) : milliseconds{0};
    const relay_request request{.table = m_table.name, .after = m_version, .wait = wait};
    m_context.relay(address, encode(request),
                    [this, call = begin_call(), address,
                     sent = m_context.boottime_clock()](const std::optional<relayed_reply>& reply)
                    { on_relayed(call, address, sent, reply); });
}

void table_follower::on_relayed(std::uint64_t call, const std::string& address, time_point sent,
                                const std::optional<relayed_reply>& relayed)
{
    const auto reply = relayed ? decode_relay_reply(relayed->bytes, m_table.name) : std::nullopt;
    if (!reply)
    {
        m_context.peers.failed(address, m_context.clock());
        log_event(event_id::feed_source_failed, {{"source", address},
                                                 {"table", m_table.name},
                                                 {"why", "no reply"},
                                                 {"age_ms", to_log_text(age())}});
        if (is_current(call))
        {
            follow();
        }
        return;
    }
    m_context.peers.responded(address);
    const auto evidence = evidence_of(*reply, sent, relayed->held);
    use_reply(*reply, evidence);
    if (!is_current(call))
    {
        return;
    }
    if (!m_loaded || time_until_late() <= milliseconds{0})
    {
        on_stale_source(address);
        return;
    }
    follow_later(reply->rows.empty() ? milliseconds{0} : m_table.min_interval);
}

time_point table_follower::evidence_of(const relay_reply& reply, time_point sent,
                                       std::optional<milliseconds> held) const
{
    const auto now = m_context.boottime_clock();
    const auto on_the_way = held ? std::max<duration>(now - sent - *held, duration{}) : duration{};
    return now - reply.age - on_the_way;
}

void table_follower::use_reply(const relay_reply& reply, time_point evidence)
{
    m_feed_failed_at = m_context.boottime_clock() - reply.since_failure;
    const bool late = reply.version > 0 && reply.age > late_confirmation;
    if (reply.since_failure < recent_failure || late)
    {
        m_context.store.check_path();
    }
    const auto version_before = m_version;
    if (reply.snapshot && (!m_loaded || reply.version >= m_version))
    {
        load(reply.rows, reply.version);
    }
    else if (m_loaded && !reply.snapshot)
    {
        apply(reply.rows, reply.version);
    }
    if (m_loaded && reply.version >= version_before && reply.age < unknown_age)
    {
        confirm(evidence);
    }
}

void table_follower::on_stale_source(const std::string& address)
{
    const auto now = m_context.clock();
    if (now < m_next_store_call)
    {
        follow_later(initial_retry_delay);
        return;
    }
    take_turn();
    m_store_until = now + source_avoidance;
    log_event(event_id::feed_source_failed, {{"source", address},
                                             {"table", m_table.name},
                                             {"why", "out of date"},
                                             {"age_ms", to_log_text(age())}});
    follow();
}

void table_follower::follow_store()
{
    // A reply with changes may have been sent at any time of its wait, so it confirms the table as of the
    // call. The next call only waits until a whole wait after that.
    const auto next = m_confirmed_at.value_or(time_point{}) + feed_timeout;
    const auto left = std::chrono::ceil<milliseconds>(next - m_context.boottime_clock());
    const auto call = begin_call();
    if (left <= milliseconds{0})
    {
        m_awaits_read = true;
        read_changes();
        return;
    }
    const auto wait = std::min(left, feed_timeout);
    m_context.store.follow(m_table.name, m_version, wait,
                           [this, call, sent = m_context.boottime_clock(), wait](const feed_reply& reply)
                           { on_feed(call, sent, wait, reply); });
}

void table_follower::read_changes()
{
    if (m_reading)
    {
        return;
    }
    m_context.store.follow(m_table.name, m_version, milliseconds{0},
                           [this, read = begin_read()](const feed_reply& reply) { on_read(read, reply); });
}

void table_follower::on_read(const store_read& read, const feed_reply& reply)
{
    if (reply.outcome == feed_outcome::changed)
    {
        end_read(read, confirmed_outcome);
        const bool changed = apply(reply.rows, reply.version);
        confirm(read.sent);
        // The call that was under way has been silent for too long.
        follow_later(changed ? m_table.min_interval : milliseconds{0});
        return;
    }
    if (reply.outcome == feed_outcome::history_truncated)
    {
        end_read(read, "history truncated");
        read_whole();
        return;
    }
    end_read(read, "failed");
    const auto delay = note_store_failure();
    if (m_awaits_read)
    {
        follow_later(delay);
    }
}

void table_follower::on_feed(std::uint64_t call, time_point sent, milliseconds wait, const feed_reply& reply)
{
    if (reply.outcome == feed_outcome::changed)
    {
        const bool changed = apply(reply.rows, reply.version);
        // Without changes the store has waited for the whole time, unless it was asked again.
        const auto evidence = reply.rows.empty() && !reply.repeated ? sent + wait : sent;
        confirm(std::min(evidence, m_context.boottime_clock()));
        if (is_current(call))
        {
            follow_later(changed ? m_table.min_interval : milliseconds{0});
        }
        return;
    }
    if (!is_current(call))
    {
        return;
    }
    if (reply.outcome == feed_outcome::history_truncated)
    {
        read_whole();
        return;
    }
    on_store_failed();
}

void table_follower::read_whole()
{
    std::ignore = begin_call();
    const auto read = begin_read();
    if (!m_table.partitioned)
    {
        read_partitions(read, {""}, {});
        return;
    }
    m_context.store.list_partitions(m_table.name,
                                    [this, read](partitions_reply reply)
                                    {
                                        if (!reply.answered)
                                        {
                                            on_whole_read_failed(read);
                                            return;
                                        }
                                        auto& partitions = reply.partitions;
                                        // Read in any case, as the version is known only after one query.
                                        if (std::ranges::find(partitions, "") == partitions.end())
                                        {
                                            partitions.emplace_back();
                                        }
                                        read_partitions(read, std::move(partitions),
                                                        {.version = reply.version});
                                    });
}

void table_follower::read_partitions(const store_read& read, std::vector<std::string> partitions,
                                     query_reply so_far)
{
    if (partitions.empty())
    {
        load(so_far.rows, so_far.version);
        end_read(read, "read whole");
        confirm(read.sent);
        follow_later(milliseconds{0});
        return;
    }
    const row_query query{.table = m_table.name, .partition = partitions.back()};
    partitions.pop_back();
    m_context.store.query(query,
                          [this, read, partitions = std::move(partitions),
                           so_far = std::move(so_far)](const query_reply& reply) mutable
                          {
                              if (!reply.answered)
                              {
                                  on_whole_read_failed(read);
                                  return;
                              }
                              // The feed must continue from the first version to include changes made between
                              // two reads.
                              so_far.version = so_far.version > 0 ? so_far.version : reply.version;
                              std::ranges::copy(reply.rows, std::back_inserter(so_far.rows));
                              read_partitions(read, std::move(partitions), std::move(so_far));
                          });
}

void table_follower::on_whole_read_failed(const store_read& read)
{
    end_read(read, "failed");
    on_store_failed();
}

void table_follower::on_store_failed()
{
    follow_later(note_store_failure());
}

milliseconds table_follower::note_store_failure()
{
    m_store_until = {};
    m_feed_failed_at = m_context.boottime_clock();
    if (!std::exchange(m_store_failing, true))
    {
        // The followers learn at once that the store may be away.
        reply_to_all();
    }
    end_refresh();
    const auto delay = m_retry_delay / 2 + random_part_of(m_retry_delay / 2);
    m_retry_delay = std::min(m_retry_delay * 2, max_retry_delay);
    check_age_after(delay);
    return delay;
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
    if (!m_confirmed_at || at > *m_confirmed_at)
    {
        if (m_context.record_age && m_confirmed_at)
        {
            m_context.record_age(m_table.name, age());
        }
        m_confirmed_at = at;
    }
    if (const auto left = time_until_late(); left > milliseconds{0})
    {
        m_store_failing = false;
        m_retry_delay = initial_retry_delay;
        check_age_after(left);
        end_refresh();
    }
    reply_to_all();
}

milliseconds table_follower::time_until_late() const
{
    const auto limit = late_after(m_context.peers.feed_depth(), m_table.min_interval);
    return std::chrono::ceil<milliseconds>(limit - age());
}

void table_follower::check_age_after(milliseconds delay)
{
    m_context.delay(delay,
                    [this, check = ++m_age_check]
                    {
                        if (check == m_age_check)
                        {
                            check_age();
                        }
                    });
}

void table_follower::check_age()
{
    if (!m_loaded)
    {
        return;
    }
    if (const auto left = time_until_late(); left > milliseconds{0})
    {
        check_age_after(left);
        return;
    }
    if (!read_store_now("not confirmed in time"))
    {
        check_age_after(std::chrono::ceil<milliseconds>(m_next_store_call - m_context.clock()));
    }
}

bool table_follower::read_store_now(std::string_view why)
{
    const bool must_wait = m_store_failing && m_context.clock() < m_next_store_call;
    if (!m_loaded || m_reading || must_wait)
    {
        return m_reading.has_value();
    }
    log_event(event_id::table_late, {{"table", m_table.name},
                                     {"source", m_source},
                                     {"age_ms", to_log_text(age())},
                                     {"why", std::string{why}}});
    take_turn();
    read_changes();
    return true;
}

void table_follower::take_turn()
{
    const auto interval =
        m_context.peers.scaled_interval(min_fallback_interval, fallback_interval_per_gateway);
    m_next_store_call = m_context.clock() + interval / 2 + random_part_of(interval / 2);
}

void table_follower::refresh(std::function<void()> on_done)
{
    if (currency() != table_currency::out_of_date)
    {
        on_done();
        return;
    }
    m_on_refreshed.push_back(std::move(on_done));
    if (m_on_refreshed.size() == 1)
    {
        m_context.delay(read_patience,
                        [this, refresh = ++m_refresh]
                        {
                            if (refresh == m_refresh)
                            {
                                end_refresh();
                            }
                        });
    }
    read_store_now("a request waits");
}

void table_follower::end_refresh()
{
    for (const auto& it : std::exchange(m_on_refreshed, {}))
    {
        it();
    }
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

table_currency table_follower::currency() const
{
    if (age() <= max_table_age)
    {
        return table_currency::current;
    }
    return evidence() == outage_evidence::none ? table_currency::out_of_date : table_currency::store_away;
}

outage_evidence table_follower::evidence() const
{
    // A reply that this process has been too slow to look at is no sign that the store is away.
    if (m_reading && m_context.attended_clock() - m_reading->attended >= read_patience)
    {
        return outage_evidence::unanswered;
    }
    // A read that the store refused because of its rate limit says nothing about whether it is away.
    if (m_store_failing && m_context.store.time_since_failure() <= age())
    {
        return outage_evidence::failed;
    }
    return outage_evidence::none;
}

void table_follower::serve(const relay_request& request, reply_callback on_reply)
{
    const auto received = m_context.boottime_clock();
    if (m_loaded && m_mirror.last_change() > request.after)
    {
        on_reply(reply_to({request.after, received, {}}));
        return;
    }
    const auto id = ++m_last_waiting;
    m_waiting.emplace(id, waiting_peer{request.after, received, std::move(on_reply)});
    m_context.delay(std::min(request.wait, m_loaded ? relay_timeout : initial_read_time),
                    [this, id]
                    {
                        if (const auto it = m_waiting.extract(id))
                        {
                            it.mapped().on_reply(reply_to(it.mapped()));
                        }
                    });
}

void table_follower::reply_to_all()
{
    for (const auto& [id, it] : std::exchange(m_waiting, {}))
    {
        it.on_reply(reply_to(it));
    }
}

relay_reply table_follower::reply_to(const waiting_peer& it) const
{
    const auto now = m_context.boottime_clock();
    relay_reply reply{.version = m_version, .age = unknown_age, .held = to_milliseconds(now - it.received)};
    if (m_confirmed_at)
    {
        // Rounded up, as a follower that takes the table for older errs on the safe side.
        reply.age = to_milliseconds(age() + milliseconds{1});
    }
    reply.since_failure = to_milliseconds(time_since_feed_failure());
    if (!m_loaded)
    {
        return reply;
    }
    auto changes = it.after > 0 ? m_mirror.changes_after(it.after) : std::nullopt;
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
