#include "masticcourse/gateway/program_spending.hpp"

#include "spending_table.hpp"

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

/// How long a settlement waits to be written together with the program's next reservation, which saves a
/// write. The platform counts a turn at its maximum for one second after its end, so this leaves time for a
/// slow store.
constexpr milliseconds settlement_flush_delay{300};
/// A turn may start before its reservation is written if the budget covers this many more turns of the same
/// size. The margin is for runaway programs, which start about a dozen turns at once across several gateways.
constexpr token_count headroom_turns = 3;
/// Programs without turns for longer than this are evicted.
constexpr seconds idle_timeout{60};
/// After this time a settlement is given up, and the reservation stays counted in full: programs end within
/// minutes, and the settlements of a long outage must not fill the memory.
constexpr std::chrono::minutes max_settlement_age{10};
/// Delay before a failed read of a row is repeated.
constexpr milliseconds read_retry_delay{50};

row_query query_of(const program_id& id, bool allow_cached)
{
    auto query = query_of_row({spending_table, id.value}, id.value);
    query.allow_cached = allow_cached;
    return query;
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

program_spending::program_spending(row_store& store, commit_sink& commits, finished_turns& turns,
                                   delay_function delay, clock_function clock)
    : m_store(store), m_commits(commits), m_turns(turns), m_delay(std::move(delay)), m_clock(std::move(clock))
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
        std::accumulate(entry.turns.begin(), entry.turns.end(), token_count{0},
                        [](token_count sum, const auto& other) { return sum + other.pending_tokens(); });
    return entry.row->committed() + pending_tokens + needed <= request.budget;
}

bool program_spending::is_unknown(const program_id& id) const
{
    const auto it = m_programs.find(id);
    return it == m_programs.end() || (!it->second.row && !it->second.busy);
}

void program_spending::look_up(const program_id& id, std::function<void()> on_end)
{
    entry_of(id).last_used = m_clock();
    m_store.query(query_of(id, true),
                  [this, id, asked_at = m_clock(), on_end = std::move(on_end)](const query_reply& reply)
                  {
                      auto& entry = entry_of(id);
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
    auto& entry = entry_of(id);
    entry.last_used = m_clock();
    if (!entry.row && entry.version == 0 && request.first_turn && !entry.busy)
    {
        // Probably a new program: a write conditional on the absence of the row saves the read.
        entry.row.emplace();
    }
    if (find(entry, request.request) != nullptr)
    {
        // Another attempt has the same id, and its record would account for both.
        on_result(reservation_outcome::unavailable);
        return;
    }
    entry.turns.push_back({.request = std::move(request.request),
                           .state = reserving_turn{.on_result = std::move(on_result)},
                           .max_tokens = request.tokens,
                           .budget = request.budget,
                           .requested = m_clock(),
                           .expires = request.expires});
    process_pending(id);
}

void program_spending::settle(const program_id& id, const request_id& request, token_count tokens,
                              settlement_timing timing)
{
    const auto it = m_programs.find(id);
    if (it == m_programs.end())
    {
        return;
    }
    auto& entry = it->second;
    auto* const turn = find(entry, request);
    if (turn != nullptr && turn->is_reserving())
    {
        withdraw(entry, *turn);
    }
    else if (turn == nullptr)
    {
        end_turn(entry, {.request = request, .state = settled_turn{.tokens = tokens}});
    }
    if (timing == settlement_timing::immediate)
    {
        process_pending(id);
        return;
    }
    schedule_flush(id, entry);
}

void program_spending::charge(reservation_request turn, charge_callback on_durable)
{
    const auto id = turn.program;
    auto& entry = entry_of(id);
    end_turn(entry, {.request = std::move(turn.request),
                     .state = charged_turn{.tokens = turn.tokens, .on_durable = std::move(on_durable)},
                     .budget = turn.budget});
    schedule_flush(id, entry);
}

program_spending::program_entry& program_spending::entry_of(const program_id& id)
{
    return m_programs.try_emplace(id, program_entry{.id = id}).first->second;
}

unwritten_turn* program_spending::find(program_entry& entry, const request_id& request)
{
    const auto it = std::ranges::find(entry.turns, request, &unwritten_turn::request);
    return it != entry.turns.end() ? &*it : nullptr;
}

void program_spending::end_turn(program_entry& entry, unwritten_turn ended)
{
    const auto now = m_clock();
    entry.last_used = now;
    entry.evidence.end_here(ended.request);
    ended.requested = now;
    ended.expires = now + max_settlement_age;
    if (auto* const turn = find(entry, ended.request))
    {
        *turn = std::move(ended);
    }
    else
    {
        entry.turns.push_back(std::move(ended));
    }
}

void program_spending::withdraw(program_entry& entry, unwritten_turn& turn)
{
    const auto request = turn.request;
    if (turn.being_written || std::get<reserving_turn>(turn.state).may_be_written)
    {
        end_turn(entry, {.request = request, .state = settled_turn{}});
        return;
    }
    entry.evidence.end_here(request);
    std::erase_if(entry.turns, [&request](const unwritten_turn& it) { return it.request == request; });
}

std::size_t program_spending::unwritten() const
{
    const auto is_unwritten_end = [](const unwritten_turn& it)
    { return !it.is_reserving() && !it.being_written; };
    const auto count = [&is_unwritten_end](std::size_t sum, const auto& it)
    { return sum + static_cast<std::size_t>(std::ranges::count_if(it.second.turns, is_unwritten_end)); };
    return std::accumulate(m_programs.begin(), m_programs.end(), std::size_t{0}, count);
}

void program_spending::evict_idle(time_point now)
{
    std::erase_if(m_programs,
                  [now](const auto& it)
                  {
                      const auto& entry = it.second;
                      return !entry.busy && entry.turns.empty() && entry.last_used + idle_timeout < now;
                  });
}

void program_spending::process_pending(const program_id& id)
{
    auto& entry = entry_of(id);
    if (entry.busy)
    {
        return;
    }
    expire_turns(entry);
    // The callbacks of expired reservations may have started a write.
    if (entry.busy || entry.turns.empty())
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

void program_spending::expire_turns(program_entry& entry)
{
    const auto now = m_clock();
    const auto is_expired = [now](const unwritten_turn& it) { return it.expires <= now; };
    std::erase_if(entry.turns,
                  [&](const unwritten_turn& it) { return !it.is_reserving() && is_expired(it); });
    std::vector<request_id> expired;
    for (const auto& it : entry.turns)
    {
        if (is_expired(it))
        {
            expired.push_back(it.request);
        }
    }
    std::ranges::for_each(expired, [&](const request_id& it)
                          { fail_reservation(entry, it, reservation_outcome::unavailable); });
}

void program_spending::fail_reservation(program_entry& entry, const request_id& request,
                                        reservation_outcome outcome)
{
    auto* const turn = find(entry, request);
    if (turn == nullptr || !turn->is_reserving())
    {
        return;
    }
    const auto on_result = std::move(std::get<reserving_turn>(turn->state).on_result);
    withdraw(entry, *turn);
    on_result(outcome);
}

void program_spending::read(const program_id& id, bool allow_cached)
{
    auto& entry = entry_of(id);
    entry.busy = true;
    m_store.query(query_of(id, allow_cached),
                  [this, id, asked_at = m_clock()](const query_reply& reply)
                  {
                      auto& read_entry = entry_of(id);
                      read_entry.busy = false;
                      if (reply.answered)
                      {
                          apply_row(read_entry, first_row(reply), source_of(reply), asked_at);
                          process_pending(id);
                          return;
                      }
                      retry_read(id);
                  });
}

void program_spending::retry_read(const program_id& id)
{
    entry_of(id).busy = true;
    m_delay(read_retry_delay,
            [this, id]
            {
                entry_of(id).busy = false;
                process_pending(id);
            });
}

void program_spending::apply_row(program_entry& entry, const std::optional<stored_row>& row,
                                 row_source source, time_point asked_at)
{
    entry.version = row ? row->version : 0;
    entry.source = source;
    // A row that cannot be decoded counts as an exhausted budget, so no turn runs on a guess.
    constexpr token_count exhausted_tokens = token_count{1} << 40U;
    entry.row =
        row ? decode_spending(row->value).value_or(spending_row{.spent = exhausted_tokens}) : spending_row{};
    if (source == row_source::store)
    {
        entry.evidence.confirm_row(asked_at);
    }
    else
    {
        entry.evidence.distrust_row();
    }
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
