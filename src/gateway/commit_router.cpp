#include "masticcourse/gateway/commit_router.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <iterator>
#include <memory>
#include <set>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// Messages in flight per collector: enough that a change seldom waits for an earlier change's transaction,
/// few enough that the changes of a busy gateway share messages.
constexpr int max_in_flight = 4;

/// What the changes of one message write at most, unless a single one writes more: well below the size of a
/// body that peers accept.
constexpr std::size_t max_message_bytes = std::size_t{1} << 20U;

/// Time within which a collector replies: long enough for several transactions, well below the sender's
/// timeout.
constexpr milliseconds max_collect_time{400};
/// Delay before changes that could not be written are retried; doubles with each unsuccessful retry.
constexpr milliseconds initial_retry_delay{25};
constexpr milliseconds max_retry_delay{200};
/// A change is deferred after this many consecutive collectors could not reach the store.
constexpr int max_refusals = 3;
/// After this many collectors did not respond, a change is written by its own gateway, which may itself be
/// the one that is disconnected from its peers.
constexpr int max_unanswered_sends = 2;

/// Gathers the results for the changes of one message.
struct pending_results
{
    std::vector<change_result> results;
    std::size_t outstanding = 0;
    collector_callback on_done;

    void finish()
    {
        if (const auto callback = std::exchange(on_done, nullptr))
        {
            callback({collector_outcome::collected, encode_results(results)});
        }
    }
};

} // namespace

commit_router::item_list commit_router::take_message(item_list& waiting)
{
    std::size_t bytes = 0;
    const auto fits = [&bytes](const item& it)
    {
        const bool first = bytes == 0;
        bytes += value_bytes(it.change.change);
        return first || bytes <= max_message_bytes;
    };
    const auto end = std::ranges::find_if_not(waiting, fits);
    item_list taken{std::make_move_iterator(waiting.begin()), std::make_move_iterator(end)};
    waiting.erase(waiting.begin(), end);
    return taken;
}

commit_router::commit_router(commit_sink& local_commits, const row_store& store, peer_directory& peers,
                             collector_call call, delay_function delay, clock_function clock)
    : m_local_commits(local_commits), m_store(store), m_peers(peers), m_call(std::move(call)),
      m_delay(std::move(delay)), m_clock(std::move(clock))
{
}

std::size_t commit_router::pending() const
{
    return m_forwarded + m_deferred.size() + m_local_commits.pending();
}

void commit_router::submit(const std::string& partition, row_change change, change_callback on_result)
{
    item_list items;
    items.push_back({{partition, std::move(change)}, std::move(on_result)});
    route(std::move(items));
}

void commit_router::route(item_list items)
{
    std::set<std::string> collectors;
    for (auto& it : items)
    {
        if (auto collector = dispatch(std::move(it)))
        {
            collectors.insert(std::move(*collector));
        }
    }
    std::ranges::for_each(collectors, [this](const std::string& it) { send(it); });
}

std::optional<std::string> commit_router::dispatch(item it)
{
    const bool cut_off = m_store.direct_path_down_for().has_value();
    if (!m_deferred.empty() && cut_off)
    {
        defer(std::move(it));
        return std::nullopt;
    }
    auto collector = it.unanswered_sends < max_unanswered_sends
                         ? m_peers.collector_of(it.change.partition, m_clock(), cut_off)
                         : std::nullopt;
    if (!collector)
    {
        m_local_commits.submit(it.change.partition, std::move(it.change.change), std::move(it.on_result));
        return std::nullopt;
    }
    ++m_forwarded;
    m_outboxes[*collector].waiting.push_back(std::move(it));
    return collector;
}

void commit_router::defer(item it)
{
    m_deferred.push_back(std::move(it));
    schedule_retry();
}

void commit_router::schedule_retry()
{
    if (!std::exchange(m_retry_scheduled, true))
    {
        m_delay(std::max(m_retry_delay, initial_retry_delay), [this] { retry_deferred(); });
    }
}

void commit_router::route_refused(item_list refused)
{
    std::ranges::for_each(refused, [](item& it) { ++it.refusals; });
    const auto to_defer =
        std::ranges::stable_partition(refused, [](const item& it) { return it.refusals < max_refusals; });
    item_list deferred{std::make_move_iterator(to_defer.begin()), std::make_move_iterator(to_defer.end())};
    refused.erase(to_defer.begin(), to_defer.end());
    for (auto& it : deferred)
    {
        it.refusals = 0;
        defer(std::move(it));
    }
    route(std::move(refused));
}

void commit_router::retry_deferred()
{
    m_retry_scheduled = false;
    const auto now = m_clock();
    const auto expired = std::ranges::stable_partition(m_deferred, [now](const item& it)
                                                       { return it.change.change.expires > now; });
    item_list timed_out{std::make_move_iterator(expired.begin()), std::make_move_iterator(expired.end())};
    m_deferred.erase(expired.begin(), expired.end());
    std::ranges::for_each(timed_out, [](item& it) { it.on_result({}); });
    if (m_deferred.empty())
    {
        return;
    }
    if (!m_store.reachable())
    {
        m_was_unreachable = true;
        m_retry_delay = initial_retry_delay;
        schedule_retry();
        return;
    }
    if (std::exchange(m_was_unreachable, false))
    {
        m_peers.clear_store_unreachable();
    }
    m_retry_delay = std::clamp(m_retry_delay * 2, initial_retry_delay, max_retry_delay);
    route(std::exchange(m_deferred, {}));
}

void commit_router::send(const std::string& collector)
{
    auto& box = m_outboxes[collector];
    while (box.in_flight < max_in_flight && !box.waiting.empty())
    {
        ++box.in_flight;
        m_peers.start_probe(collector, m_clock());
        auto sent = std::make_shared<item_list>(take_message(box.waiting));
        std::vector<routed_change> changes;
        std::ranges::transform(*sent, std::back_inserter(changes), &item::change);
        m_call(collector, encode_changes(changes, m_clock()),
               [this, collector, sent](const collector_reply& reply)
               { on_reply(collector, std::move(*sent), reply); });
    }
}

void commit_router::on_reply(const std::string& collector, item_list sent, const collector_reply& reply)
{
    --m_outboxes[collector].in_flight;
    m_forwarded -= sent.size();
    const bool collected = reply.outcome == collector_outcome::collected;
    const auto results = collected ? decode_results(reply.results) : std::nullopt;
    if (results && results->size() == sent.size())
    {
        m_peers.answered(collector);
        m_retry_delay = initial_retry_delay;
        on_results(std::move(sent), *results);
    }
    else
    {
        on_failure(collector, std::move(sent), reply);
    }
    send(collector);
}

void commit_router::on_results(item_list sent, const std::vector<change_result>& results)
{
    for (std::size_t i = 0; i < sent.size(); ++i)
    {
        const bool expired = sent[i].change.change.expires <= m_clock();
        if (results[i].outcome == store_outcome::unknown && !expired)
        {
            resend_later(std::move(sent[i]));
        }
        else
        {
            sent[i].on_result(results[i]);
        }
    }
}

void commit_router::resend_later(item it)
{
    auto resent = std::make_shared<item>(std::move(it));
    ++m_forwarded;
    m_delay(initial_retry_delay,
            [this, resent]
            {
                --m_forwarded;
                item_list items;
                items.push_back(std::move(*resent));
                route(std::move(items));
            });
}

void commit_router::on_failure(const std::string& collector, item_list sent, const collector_reply& reply)
{
    if (!m_store.reachable())
    {
        // Nobody can write to the store at present. The collector is not excluded, so that the store does not
        // face many writers per partition when it recovers.
        std::ranges::for_each(sent, [this](item& it) { defer(std::move(it)); });
        return;
    }
    const bool store_unreachable = reply.outcome == collector_outcome::store_unreachable;
    log_event(event_id::collector_failed, {{"collector", collector},
                                           {"why", store_unreachable ? "it lacks the store" : "no answer"},
                                           {"changes", std::to_string(sent.size())}});
    if (store_unreachable)
    {
        m_peers.mark_store_unreachable(collector, m_clock(), reply.unreachable_for);
        route_refused(std::move(sent));
    }
    else
    {
        m_peers.failed(collector, m_clock());
        // The collector may have written the changes. Writing them again is safe: a change is either guarded
        // by its condition or idempotent.
        std::ranges::for_each(sent, [](item& it) { ++it.unanswered_sends; });
        route(std::move(sent));
    }
    reroute(collector);
}

void commit_router::reroute(const std::string& collector)
{
    auto waiting = std::exchange(m_outboxes[collector].waiting, {});
    m_forwarded -= waiting.size();
    route(std::move(waiting));
}

void commit_router::collect(const std::string& bytes, collector_callback on_done)
{
    const auto now = m_clock();
    auto changes = decode_changes(bytes, now);
    if (!changes || changes->empty())
    {
        on_done({.outcome = collector_outcome::no_reply});
        return;
    }
    if (const auto cut_off_for = m_store.direct_path_down_for())
    {
        on_done({.outcome = collector_outcome::store_unreachable,
                 .unreachable_for = std::chrono::floor<milliseconds>(*cut_off_for)});
        return;
    }
    auto collected = std::make_shared<pending_results>();
    collected->results.resize(changes->size());
    collected->outstanding = changes->size();
    collected->on_done = std::move(on_done);
    m_delay(max_collect_time, [collected] { collected->finish(); });
    for (std::size_t i = 0; i < changes->size(); ++i)
    {
        auto& it = (*changes)[i];
        // Expires when the reply is due: after that, the sender sends the change again.
        it.change.expires = std::min(it.change.expires, now + max_collect_time);
        m_local_commits.submit(it.partition, std::move(it.change),
                               [collected, i](const change_result& result)
                               {
                                   collected->results[i] = result;
                                   if (--collected->outstanding == 0)
                                   {
                                       collected->finish();
                                   }
                               });
    }
}

} // namespace masticcourse::gateway
