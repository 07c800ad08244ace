#include "masticcourse/gateway/program_spending.hpp"

#include "masticcourse/gateway/partition.hpp"
#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <ranges>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

const std::string spending_table = "spending";

/// How long a settlement waits to be written together with the program's next reservation, which saves a
/// write. The platform counts a turn at its maximum for one second after its end, so this leaves time for a
/// slow store.
constexpr milliseconds settlement_flush_delay{300};
/// A turn may start before its reservation is written if the budget covers this many more turns of the same
/// size. The margin is for runaway programs, which start about a dozen turns at once across several gateways.
constexpr token_count headroom_turns = 3;
/// Programs without turns for longer than this are evicted.
constexpr seconds idle_timeout{60};
/// How long the write of a settlement is retried. After that, the reservation stays counted in full.
constexpr seconds settlement_timeout{20};

/// @return the exclusive upper bound of the range that contains only @a key; ids contain no character below
/// the one appended
std::string next_key(const std::string& key)
{
    return key + ' ';
}

row_query query_of(const program_id& id, bool allow_cached)
{
    return {.table = spending_table,
            .partition = partition_of(id.value),
            .from = id.value,
            .to = next_key(id.value),
            .allow_cached = allow_cached};
}

std::optional<stored_row> first_row(const query_reply& reply)
{
    return reply.rows.empty() ? std::nullopt : std::optional{reply.rows.front()};
}

row_source source_of(const query_reply& reply)
{
    return reply.from_cache ? row_source::cache : row_source::store;
}

} // namespace

program_spending::program_spending(row_store& store, commit_sink& commits, delay_function delay,
                                   clock_function clock)
    : m_store(store), m_commits(commits), m_delay(std::move(delay)), m_clock(std::move(clock))
{
}

bool program_spending::has_headroom(const reservation_request& request) const
{
    const auto needed = request.tokens * (1 + headroom_turns);
    const auto it = m_programs.find(request.program);
    if (it == m_programs.end() || !it->second.row)
    {
        return request.first_turn && needed <= request.budget;
    }
    const auto& entry = it->second;
    const auto pending_tokens =
        std::accumulate(entry.pending.begin(), entry.pending.end(), token_count{0},
                        [](token_count sum, const auto& other) { return sum + other.request.tokens; });
    return entry.row->committed() + pending_tokens + needed <= request.budget;
}

bool program_spending::is_unknown(const program_id& id) const
{
    const auto it = m_programs.find(id);
    return it == m_programs.end() || (!it->second.row && !it->second.busy);
}

void program_spending::look_up(const program_id& id, std::function<void()> on_end)
{
    m_programs[id].last_used = m_clock();
    m_store.query(query_of(id, true),
                  [this, id, asked_at = m_clock(), on_end = std::move(on_end)](const query_reply& reply)
                  {
                      auto& entry = m_programs[id];
                      if (reply.answered && !entry.row && !entry.busy)
                      {
                          apply_row(entry, first_row(reply), source_of(reply), asked_at);
                      }
                      on_end();
                  });
}

void program_spending::reserve(reservation_request request, reservation_callback on_result)
{
    const auto id = request.program;
    auto& entry = m_programs[id];
    entry.last_used = m_clock();
    if (!entry.row && entry.version == 0 && request.first_turn && !entry.busy)
    {
        // Probably a new program: a write conditional on the absence of the row saves the read.
        entry.row.emplace();
    }
    entry.pending.push_back(
        {.request = std::move(request), .on_result = std::move(on_result), .requested = m_clock()});
    process_pending(id);
}

void program_spending::settle(const program_id& id, const request_id& request, token_count tokens)
{
    const auto it = m_programs.find(id);
    if (it == m_programs.end())
    {
        return;
    }
    auto& entry = it->second;
    entry.last_used = m_clock();
    // A reservation that has not been written yet is no longer needed.
    const auto withdrawn = std::erase_if(entry.pending, [&](const pending_reservation& one)
                                         { return one.request.request == request; });
    if (withdrawn == 0)
    {
        entry.settlements.push_back({request, tokens});
    }
    schedule_flush(id, entry);
}

void program_spending::charge(reservation_request turn, charge_callback on_durable)
{
    const auto id = turn.program;
    auto& entry = m_programs[id];
    entry.last_used = m_clock();
    std::erase_if(entry.pending,
                  [&](const pending_reservation& one) { return one.request.request == turn.request; });
    // If the turn's own reservation is being written, this settles it.
    entry.settlements.push_back({turn.request, turn.tokens});
    turn.expires = m_clock() + settlement_timeout;
    entry.pending.push_back(
        {.request = std::move(turn), .on_result = std::move(on_durable), .requested = m_clock()});
    schedule_flush(id, entry);
}

std::size_t program_spending::unwritten() const
{
    const auto count = [](std::size_t sum, const auto& it)
    {
        const auto& entry = it.second;
        const auto is_charge = [](const pending_reservation& one)
        { return std::holds_alternative<charge_callback>(one.on_result); };
        return sum + entry.settlements.size() +
               static_cast<std::size_t>(std::ranges::count_if(entry.pending, is_charge));
    };
    return std::accumulate(m_programs.begin(), m_programs.end(), std::size_t{0}, count);
}

void program_spending::complete(const pending_reservation& it, reservation_outcome outcome)
{
    if (const auto* const on_reserved = std::get_if<reservation_callback>(&it.on_result))
    {
        (*on_reserved)(outcome);
    }
    else if (outcome == reservation_outcome::granted)
    {
        std::get<charge_callback>(it.on_result)(it.excess_tokens);
    }
}

void program_spending::evict_idle(time_point now)
{
    std::erase_if(m_programs,
                  [now](const auto& it)
                  {
                      const auto& entry = it.second;
                      return !entry.busy && entry.pending.empty() && entry.settlements.empty() &&
                             entry.last_used + idle_timeout < now;
                  });
}

void program_spending::process_pending(const program_id& id)
{
    auto& entry = m_programs[id];
    if (entry.busy)
    {
        return;
    }
    expire_pending(entry);
    if (entry.pending.empty() && entry.settlements.empty())
    {
        return;
    }
    if (!entry.row)
    {
        read(id, true);
        return;
    }
    write(id, entry);
}

void program_spending::expire_pending(program_entry& entry)
{
    const auto now = m_clock();
    const auto expired = std::ranges::stable_partition(entry.pending, [now](const pending_reservation& it)
                                                       { return it.request.expires > now; });
    std::vector<pending_reservation> refused{std::make_move_iterator(expired.begin()),
                                             std::make_move_iterator(expired.end())};
    entry.pending.erase(expired.begin(), expired.end());
    std::ranges::for_each(refused, [](const pending_reservation& it)
                          { complete(it, reservation_outcome::unavailable); });
}

void program_spending::read(const program_id& id, bool allow_cached)
{
    auto& entry = m_programs[id];
    entry.busy = true;
    m_store.query(query_of(id, allow_cached),
                  [this, id, asked_at = m_clock()](const query_reply& reply)
                  {
                      auto& read_entry = m_programs[id];
                      read_entry.busy = false;
                      if (reply.answered)
                      {
                          apply_row(read_entry, first_row(reply), source_of(reply), asked_at);
                          process_pending(id);
                          return;
                      }
                      // The store is unreachable: retry until the pending reservations expire.
                      read_entry.busy = true;
                      m_delay(milliseconds{50},
                              [this, id]
                              {
                                  m_programs[id].busy = false;
                                  process_pending(id);
                              });
                  });
}

void program_spending::apply_row(program_entry& entry, const std::optional<stored_row>& row,
                                 row_source source, time_point asked_at)
{
    entry.source = source;
    entry.confirmed_since = source == row_source::store ? std::optional{asked_at} : std::nullopt;
    entry.version = row ? row->version : 0;
    // A row that cannot be decoded counts as an exhausted budget, so no turn runs on a guess.
    constexpr token_count exhausted_tokens = token_count{1} << 40U;
    entry.row =
        row ? decode_spending(row->value).value_or(spending_row{.spent = exhausted_tokens}) : spending_row{};
}

void program_spending::admit_pending(program_entry& entry, spending_row& next,
                                     std::vector<pending_reservation>& admitted)
{
    std::vector<pending_reservation> stale;
    for (auto& it : std::exchange(entry.pending, {}))
    {
        const bool already_reserved = next.has_reservation(it.request.request);
        const bool fits = next.committed() + it.request.tokens <= it.request.budget;
        const bool is_charge = std::holds_alternative<charge_callback>(it.on_result);
        if (already_reserved || fits || is_charge)
        {
            if (!already_reserved)
            {
                next.reserved.push_back({it.request.request, it.request.tokens});
            }
            it.excess_tokens =
                std::clamp(next.committed() - it.request.budget, token_count{0}, it.request.tokens);
            admitted.push_back(std::move(it));
        }
        else if (entry.confirmed_since && *entry.confirmed_since >= it.requested)
        {
            log_refusal(entry, next, it.request);
            complete(it, reservation_outcome::over_budget);
        }
        else
        {
            stale.push_back(std::move(it));
        }
    }
    entry.pending.insert(entry.pending.begin(), std::make_move_iterator(stale.begin()),
                         std::make_move_iterator(stale.end()));
}

void program_spending::log_refusal(const program_entry& entry, const spending_row& row,
                                   const reservation_request& request)
{
    std::string reserved;
    for (const auto& it : row.reserved)
    {
        reserved += (reserved.empty() ? "" : ",") + it.request.value + ':' + std::to_string(it.tokens);
    }
    log_event(event_id::turn_over_budget, {{"request", request.request.value},
                                           {"program", request.program.value},
                                           {"most", std::to_string(request.tokens)},
                                           {"budget", std::to_string(request.budget)},
                                           {"spent", std::to_string(row.spent)},
                                           {"reserved", reserved},
                                           {"version", std::to_string(entry.version)},
                                           {"row", std::string{to_string(entry.source)}}});
}

void program_spending::write(const program_id& id, program_entry& entry)
{
    entry.busy = true;
    auto next = *entry.row;
    const auto settled = std::exchange(entry.settlements, {});
    const auto has_pending = [&entry](const settlement& it)
    {
        return std::ranges::any_of(entry.pending, [&it](const pending_reservation& one)
                                   { return one.request.request == it.request; });
    };
    const auto settle = [&next](const settlement& it) { next.settle(it.request, it.tokens); };
    std::ranges::for_each(settled | std::views::filter(std::not_fn(has_pending)), settle);
    std::vector<pending_reservation> admitted;
    admit_pending(entry, next, admitted);
    // A turn may have ended while the write of its reservation failed. The reservation is then admitted again
    // above and settled here.
    std::ranges::for_each(settled, settle);
    if (admitted.empty() && settled.empty())
    {
        // All remaining reservations would be refused based on a row that was read before they were
        // requested: read the row first.
        entry.busy = false;
        if (!entry.pending.empty())
        {
            read(id, false);
        }
        return;
    }
    if (settled.empty() && next.reserved.size() == entry.row->reserved.size())
    {
        // The row already contains all reservations: the replies to earlier writes were lost.
        entry.busy = false;
        std::ranges::for_each(admitted, [](const pending_reservation& it)
                              { complete(it, reservation_outcome::granted); });
        process_pending(id);
        return;
    }
    const auto latest = [](time_point t, const pending_reservation& it)
    { return std::max(t, it.request.expires); };
    const auto expires =
        std::accumulate(admitted.begin(), admitted.end(),
                        settled.empty() ? time_point{} : m_clock() + settlement_timeout, latest);
    row_change change{.condition = row_condition{{spending_table, id.value}, entry.version},
                      .puts = {{{spending_table, id.value}, encode(next)}},
                      .expires = expires};
    auto shared_admitted = std::make_shared<std::vector<pending_reservation>>(std::move(admitted));
    m_commits.submit(partition_of(id.value), std::move(change),
                     [this, id, next, shared_admitted, settled, submitted = m_clock()](const auto& result)
                     { on_written(id, next, std::move(*shared_admitted), settled, submitted, result); });
}

void program_spending::on_written(const program_id& id, const spending_row& next,
                                  std::vector<pending_reservation> admitted,
                                  const std::vector<settlement>& settled, time_point submitted,
                                  const change_result& result)
{
    auto& entry = m_programs[id];
    entry.busy = false;
    if (result.outcome == store_outcome::done)
    {
        entry.row = next;
        entry.version = result.version;
        entry.source = row_source::store;
        entry.confirmed_since = submitted;
        std::ranges::for_each(admitted, [](const pending_reservation& it)
                              { complete(it, reservation_outcome::granted); });
        process_pending(id);
        return;
    }
    // The write failed or its outcome is unknown: try the reservations again.
    entry.pending.insert(entry.pending.begin(), std::make_move_iterator(admitted.begin()),
                         std::make_move_iterator(admitted.end()));
    if (result.outcome == store_outcome::conflict)
    {
        entry.settlements.insert(entry.settlements.begin(), settled.begin(), settled.end());
        apply_row(entry, result.current, result.current_source, submitted);
    }
    else
    {
        // The settlements of this write were retried until they expired and are dropped. Those queued since
        // then are kept.
        entry.row.reset();
    }
    process_pending(id);
}

void program_spending::schedule_flush(const program_id& id, program_entry& entry)
{
    if (entry.flush_scheduled)
    {
        return;
    }
    entry.flush_scheduled = true;
    m_delay(settlement_flush_delay,
            [this, id]
            {
                const auto it = m_programs.find(id);
                if (it != m_programs.end())
                {
                    it->second.flush_scheduled = false;
                    process_pending(id);
                }
            });
}

} // namespace masticcourse::gateway
