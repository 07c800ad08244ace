#include "masticcourse/gateway/commit_queue.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// Transactions in flight per partition: the second is transmitted while the store processes the first.
constexpr int max_in_flight = 2;
/// Rows and conditions per transaction; the store's limit is 100.
constexpr std::size_t max_batch_entries = 90;
/// Payload bytes per transaction. The store's limit is 1 MB, and base64 encodes three bytes as four.
constexpr std::size_t max_batch_bytes = 600'000;
/// Exponential back-off after failures: short enough that a turn completes within a few tens of milliseconds
/// of the store's recovery, long enough that all gateways together stay far below the store's rate limit
/// while it refuses calls.
constexpr milliseconds initial_backoff{25};
constexpr milliseconds max_backoff{200};

std::size_t entries_of(const row_change& change)
{
    return change.puts.size() + (change.condition ? 1 : 0);
}

std::optional<stored_row> find_row(const std::vector<stored_row>& rows, const row_name& name)
{
    const auto it = std::ranges::find(rows, name, &stored_row::name);
    return it != rows.end() ? std::optional{*it} : std::nullopt;
}

/// @return whether @a change writes one of @a rows
bool writes_any(const row_change& change, const std::set<row_name>& rows)
{
    return std::ranges::any_of(change.puts, [&rows](const row_put& it) { return rows.contains(it.name); });
}

row_transaction to_transaction(const std::string& partition, const row_change& first)
{
    row_transaction transaction{.partition = partition, .puts = first.puts};
    if (first.condition)
    {
        transaction.conditions.push_back(*first.condition);
    }
    return transaction;
}

void append(row_transaction& transaction, const row_change& change)
{
    if (change.condition)
    {
        transaction.conditions.push_back(*change.condition);
    }
    std::ranges::copy(change.puts, std::back_inserter(transaction.puts));
}

} // namespace

std::size_t value_bytes(const row_change& change)
{
    return std::accumulate(change.puts.begin(), change.puts.end(), std::size_t{0},
                           [](std::size_t sum, const row_put& it) { return sum + it.value.size(); });
}

std::string_view to_string(row_source source)
{
    return source == row_source::store ? "store" : "cache";
}

commit_queue::commit_queue(row_store& store, delay_function delay, clock_function clock, random_seed seed,
                           std::size_t cache_bytes)
    : m_store(store), m_delay(std::move(delay)), m_clock(std::move(clock)), m_cached_rows(cache_bytes),
      m_random(seed.value)
{
}

void commit_queue::submit(const std::string& partition, row_change change, change_callback on_result)
{
    ++m_pending;
    m_queues[partition].waiting.push_back({std::move(change), std::move(on_result)});
    send_next_batch(partition);
}

void commit_queue::send_next_batch(const std::string& partition)
{
    auto& queue = m_queues[partition];
    if (queue.occupied_slots >= max_in_flight)
    {
        return;
    }
    fail_expired(queue);
    reject_stale(queue);
    if (queue.waiting.empty())
    {
        return;
    }
    auto batch = std::make_shared<item_list>(take_batch(queue));
    if (batch->empty())
    {
        return;
    }
    ++queue.occupied_slots;
    auto transaction = to_transaction(partition, batch->front().change);
    std::for_each(std::next(batch->begin()), batch->end(),
                  [&transaction](const item& it) { append(transaction, it.change); });
    m_store.transact(transaction, [this, partition, batch](const transaction_reply& reply)
                     { on_reply(partition, std::move(*batch), reply); });
}

commit_queue::item_list commit_queue::take_batch(partition_queue& queue)
{
    item_list batch;
    item_list remaining;
    std::size_t entries = 0;
    std::size_t bytes = 0;
    for (auto& it : queue.waiting)
    {
        const bool full = entries + entries_of(it.change) > max_batch_entries ||
                          bytes + value_bytes(it.change) > max_batch_bytes;
        // Two changes to the same row never share a transaction: both conditions would hold, and the second
        // write would overwrite the first.
        const bool apart = it.alone || (!batch.empty() && batch.front().alone);
        if (((full || apart) && !batch.empty()) || writes_any(it.change, queue.being_written))
        {
            remaining.push_back(std::move(it));
            continue;
        }
        entries += entries_of(it.change);
        bytes += value_bytes(it.change);
        std::ranges::for_each(it.change.puts,
                              [&queue](const row_put& put) { queue.being_written.insert(put.name); });
        batch.push_back(std::move(it));
    }
    queue.waiting = std::move(remaining);
    return batch;
}

void commit_queue::reject_stale(partition_queue& queue)
{
    item_list stale;
    item_list remaining;
    for (auto& it : queue.waiting)
    {
        const auto& condition = it.change.condition;
        const auto* const row = condition ? m_cached_rows.find(condition->name) : nullptr;
        const bool fails = row != nullptr && row->version > condition->version;
        (fails ? stale : remaining).push_back(std::move(it));
    }
    queue.waiting = std::move(remaining);
    for (auto& it : stale)
    {
        const auto current = *m_cached_rows.find(it.change.condition->name);
        resolve(
            it,
            {.outcome = store_outcome::conflict, .current = current, .current_source = row_source::cache});
    }
}

void commit_queue::cache_rows(const item_list& written, row_version version)
{
    for (const auto& it : written)
    {
        // Changes of several rows are not cached, so that no reader sees only some of the rows.
        if (it.change.puts.size() == 1)
        {
            const auto& put = it.change.puts.front();
            m_cached_rows.put({put.name, put.value, version});
        }
    }
}

void commit_queue::fail_expired(partition_queue& queue)
{
    const auto now = m_clock();
    const auto expired = std::ranges::stable_partition(queue.waiting, [now](const item& it)
                                                       { return it.change.expires > now; });
    item_list timed_out{std::make_move_iterator(expired.begin()), std::make_move_iterator(expired.end())};
    queue.waiting.erase(expired.begin(), expired.end());
    std::ranges::for_each(timed_out, [this](item& it) { resolve(it, {}); });
}

void commit_queue::on_reply(const std::string& partition, item_list batch, const transaction_reply& reply)
{
    auto& queue = m_queues[partition];
    for (const auto& it : batch)
    {
        std::ranges::for_each(it.change.puts,
                              [&queue](const row_put& put) { queue.being_written.erase(put.name); });
    }
    if (reply.outcome == store_outcome::done)
    {
        queue.failures = 0;
        --queue.occupied_slots;
        cache_rows(batch, reply.version);
        std::ranges::for_each(batch, [&](item& it)
                              { resolve(it, {.outcome = store_outcome::done, .version = reply.version}); });
        send_next_batch(partition);
        return;
    }
    if (reply.outcome == store_outcome::rejected)
    {
        --queue.occupied_slots;
        on_rejected(queue, std::move(batch));
        send_next_batch(partition);
        return;
    }
    const auto size = batch.size();
    if (reply.outcome == store_outcome::conflict)
    {
        std::ranges::for_each(reply.current, [this](const stored_row& it) { m_cached_rows.put(it); });
        resolve_conflicts(batch, reply);
    }
    const bool progress = batch.size() < size;
    requeue(queue, std::move(batch));
    if (progress)
    {
        --queue.occupied_slots;
        send_next_batch(partition);
    }
    else
    {
        retry_later(partition, queue);
    }
}

void commit_queue::resolve_conflicts(item_list& batch, const transaction_reply& reply)
{
    const auto holds = [&reply](const item& it)
    {
        if (!it.change.condition)
        {
            return true;
        }
        const auto row = find_row(reply.current, it.change.condition->name);
        return (row ? row->version : 0) == it.change.condition->version;
    };
    const auto failed = std::ranges::stable_partition(batch, holds);
    item_list conflicts{std::make_move_iterator(failed.begin()), std::make_move_iterator(failed.end())};
    batch.erase(failed.begin(), failed.end());
    for (auto& it : conflicts)
    {
        resolve(it, {.outcome = store_outcome::conflict,
                     .current = find_row(reply.current, it.change.condition->name),
                     .current_source = row_source::store});
    }
}

void commit_queue::on_rejected(partition_queue& queue, item_list batch)
{
    if (batch.size() > 1)
    {
        std::ranges::for_each(batch, [](item& it) { it.alone = true; });
        requeue(queue, std::move(batch));
        return;
    }
    auto& it = batch.front();
    log_event(event_id::change_rejected,
              {{"row", it.change.puts.empty() ? "-" : it.change.puts.front().name.key},
               {"rows", std::to_string(it.change.puts.size())},
               {"bytes", std::to_string(value_bytes(it.change))}});
    resolve(it, {.outcome = store_outcome::refused});
}

void commit_queue::requeue(partition_queue& queue, item_list batch)
{
    queue.waiting.insert(queue.waiting.begin(), std::make_move_iterator(batch.begin()),
                         std::make_move_iterator(batch.end()));
}

void commit_queue::retry_later(const std::string& partition, partition_queue& queue)
{
    constexpr std::uint32_t max_backoff_shift = 3;
    const auto bound =
        std::min(initial_backoff * (1 << std::min(queue.failures, max_backoff_shift)), max_backoff);
    ++queue.failures;
    // Jitter over half of the back-off prevents gateways that failed together from retrying together.
    std::uniform_int_distribution<milliseconds::rep> part(bound.count() / 2, bound.count());
    m_delay(milliseconds{part(m_random)},
            [this, partition]
            {
                --m_queues[partition].occupied_slots;
                send_next_batch(partition);
            });
}

void commit_queue::resolve(item& it, const change_result& result)
{
    --m_pending;
    const auto on_result = std::exchange(it.on_result, nullptr);
    on_result(result);
}

} // namespace masticcourse::gateway
