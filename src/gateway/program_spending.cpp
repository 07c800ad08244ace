#include "masticcourse/gateway/program_spending.hpp"

#include "masticcourse/gateway/partition.hpp"

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

/// How long a settlement waits for the program's next turn to carry it along, which saves a write. The
/// platform counts a turn at its most for a second after its end; this leaves time for a slow store.
constexpr milliseconds settlement_wait{300};
/// Turns of the present size that the budget must still hold besides, for a turn to start before its
/// reservation is written: a runaway program starts about a dozen at once over several gateways.
constexpr token_count ample_turns = 3;
/// How long a program without turns is remembered.
constexpr seconds idle_limit{60};
/// How long a settlement is tried; given up, its reservation stays counted in full.
constexpr seconds settlement_life{20};

/// The end of the range that holds @a key alone: ids hold no character below the one appended.
std::string key_after(const std::string& key)
{
    return key + ' ';
}

row_query query_of(const program_id& id, bool memory_will_do)
{
    return {.table = spending_table,
            .partition = partition_of(id.value),
            .from = id.value,
            .to = key_after(id.value),
            .allow_cached = memory_will_do};
}

std::optional<stored_row> first_row(const query_reply& reply)
{
    return reply.rows.empty() ? std::nullopt : std::optional{reply.rows.front()};
}

} // namespace

program_spending::program_spending(row_store& store, commit_sink& commits, delay_function delay,
                                   clock_function clock)
    : m_store(store), m_commits(commits), m_delay(std::move(delay)), m_clock(std::move(clock))
{
}

bool program_spending::ample(const reservation_request& request) const
{
    const auto needed = request.tokens * (1 + ample_turns);
    const auto it = m_programs.find(request.program);
    if (it == m_programs.end() || !it->second.row)
    {
        return request.first && needed <= request.budget;
    }
    const auto& entry = it->second;
    const auto waiting = std::accumulate(entry.claims.begin(), entry.claims.end(), token_count{0},
                                         [](token_count sum, const auto& waiting_claim)
                                         { return sum + waiting_claim.request.tokens; });
    return entry.row->committed() + waiting + needed <= request.budget;
}

bool program_spending::unknown(const program_id& id) const
{
    const auto it = m_programs.find(id);
    return it == m_programs.end() || (!it->second.row && !it->second.busy);
}

void program_spending::look_up(const program_id& id, std::function<void()> on_end)
{
    m_programs[id].used = m_clock();
    m_store.query(query_of(id, true),
                  [this, id, on_end = std::move(on_end)](const query_reply& reply)
                  {
                      auto& entry = m_programs[id];
                      if (reply.answered && !entry.row && !entry.busy)
                      {
                          adopt(entry, first_row(reply), !reply.from_cache);
                      }
                      on_end();
                  });
}

void program_spending::reserve(reservation_request request, reservation_callback on_result)
{
    const auto id = request.program;
    auto& entry = m_programs[id];
    entry.used = m_clock();
    if (!entry.row && entry.version == 0 && request.first && !entry.busy)
    {
        // Presumably new: a write under the condition that there is no row saves the read.
        entry.row.emplace();
    }
    entry.claims.push_back({std::move(request), std::move(on_result)});
    step(id);
}

void program_spending::settle(const program_id& id, const request_id& request, token_count tokens)
{
    const auto it = m_programs.find(id);
    if (it == m_programs.end())
    {
        return;
    }
    auto& entry = it->second;
    entry.used = m_clock();
    // A claim that has not been written yet need not be any more.
    const auto withdrawn =
        std::erase_if(entry.claims, [&](const claim& one) { return one.request.request == request; });
    if (withdrawn == 0)
    {
        entry.settlements.push_back({request, tokens});
    }
    plan_flush(id, entry);
}

void program_spending::charge(reservation_request turn, charge_callback on_durable)
{
    const auto id = turn.program;
    auto& entry = m_programs[id];
    entry.used = m_clock();
    std::erase_if(entry.claims, [&](const claim& one) { return one.request.request == turn.request; });
    // Should the turn's own claim be under way, what it reserves is settled with it.
    entry.settlements.push_back({turn.request, turn.tokens});
    turn.expires = m_clock() + settlement_life;
    entry.claims.push_back({.request = std::move(turn), .on_result = std::move(on_durable)});
    plan_flush(id, entry);
}

void program_spending::answer(const claim& it, reservation_outcome outcome)
{
    if (const auto* const on_reserved = std::get_if<reservation_callback>(&it.on_result))
    {
        (*on_reserved)(outcome);
    }
    else if (outcome == reservation_outcome::granted)
    {
        std::get<charge_callback>(it.on_result)(it.beyond);
    }
}

void program_spending::forget_idle(time_point now)
{
    std::erase_if(m_programs,
                  [now](const auto& it)
                  {
                      const auto& entry = it.second;
                      return !entry.busy && entry.claims.empty() && entry.settlements.empty() &&
                             entry.used + idle_limit < now;
                  });
}

void program_spending::step(const program_id& id)
{
    auto& entry = m_programs[id];
    if (entry.busy)
    {
        return;
    }
    refuse_expired(entry);
    if (entry.claims.empty() && entry.settlements.empty())
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

void program_spending::refuse_expired(program_entry& entry)
{
    const auto now = m_clock();
    const auto expired = std::ranges::stable_partition(entry.claims, [now](const claim& it)
                                                       { return it.request.expires > now; });
    std::vector<claim> refused{std::make_move_iterator(expired.begin()),
                               std::make_move_iterator(expired.end())};
    entry.claims.erase(expired.begin(), expired.end());
    std::ranges::for_each(refused, [](const claim& it) { answer(it, reservation_outcome::unavailable); });
}

void program_spending::read(const program_id& id, bool memory_will_do)
{
    auto& entry = m_programs[id];
    entry.busy = true;
    m_store.query(query_of(id, memory_will_do),
                  [this, id](const query_reply& reply)
                  {
                      auto& read_entry = m_programs[id];
                      read_entry.busy = false;
                      if (reply.answered)
                      {
                          adopt(read_entry, first_row(reply), !reply.from_cache);
                          step(id);
                          return;
                      }
                      // The store is away: asked again after a pause, until the claims' time is over.
                      read_entry.busy = true;
                      m_delay(milliseconds{50},
                              [this, id]
                              {
                                  m_programs[id].busy = false;
                                  step(id);
                              });
                  });
}

void program_spending::adopt(program_entry& entry, const std::optional<stored_row>& row, bool fresh)
{
    entry.version = row ? row->version : 0;
    // A row that can't be read counts as a program that has spent all: no turn runs on a guess.
    constexpr token_count all = token_count{1} << 40U;
    entry.row = row ? decode_spending(row->value).value_or(spending_row{.spent = all}) : spending_row{};
    std::ranges::for_each(entry.claims, [fresh](claim& it) { it.fresh = it.fresh || fresh; });
}

void program_spending::admit(program_entry& entry, spending_row& next, std::vector<claim>& admitted)
{
    std::vector<claim> stale;
    for (auto& it : std::exchange(entry.claims, {}))
    {
        const bool there = next.has(it.request.request);
        const bool fits = next.committed() + it.request.tokens <= it.request.budget;
        const bool handed_out = std::holds_alternative<charge_callback>(it.on_result);
        if (there || fits || handed_out)
        {
            if (!there)
            {
                next.reserved.push_back({it.request.request, it.request.tokens});
            }
            it.beyond = std::clamp(next.committed() - it.request.budget, token_count{0}, it.request.tokens);
            admitted.push_back(std::move(it));
        }
        else if (it.fresh)
        {
            answer(it, reservation_outcome::over_budget);
        }
        else
        {
            stale.push_back(std::move(it));
        }
    }
    entry.claims.insert(entry.claims.begin(), std::make_move_iterator(stale.begin()),
                        std::make_move_iterator(stale.end()));
}

void program_spending::write(const program_id& id, program_entry& entry)
{
    entry.busy = true;
    auto next = *entry.row;
    const auto settled = std::exchange(entry.settlements, {});
    const auto claimed = [&entry](const settlement& it)
    {
        return std::ranges::any_of(entry.claims,
                                   [&it](const claim& one) { return one.request.request == it.request; });
    };
    const auto settle = [&next](const settlement& it) { next.settle(it.request, it.tokens); };
    std::ranges::for_each(settled | std::views::filter(std::not_fn(claimed)), settle);
    std::vector<claim> admitted;
    admit(entry, next, admitted);
    // A turn may have ended while its claim was written in vain: claimed anew, it is settled after that.
    std::ranges::for_each(settled, settle);
    if (admitted.empty() && settled.empty())
    {
        // All that is left would be refused, on what was known before they came: read the row first.
        entry.busy = false;
        if (!entry.claims.empty())
        {
            read(id, false);
        }
        return;
    }
    if (settled.empty() && next.reserved.size() == entry.row->reserved.size())
    {
        // All of it stands in the row already: the answers to earlier writes were lost.
        entry.busy = false;
        std::ranges::for_each(admitted, [](const claim& it) { answer(it, reservation_outcome::granted); });
        step(id);
        return;
    }
    const auto latest = [](time_point t, const claim& it) { return std::max(t, it.request.expires); };
    const auto expires =
        std::accumulate(admitted.begin(), admitted.end(),
                        settled.empty() ? time_point{} : m_clock() + settlement_life, latest);
    row_change change{.condition = row_condition{{spending_table, id.value}, entry.version},
                      .puts = {{{spending_table, id.value}, encode(next)}},
                      .expires = expires};
    auto held = std::make_shared<std::vector<claim>>(std::move(admitted));
    m_commits.submit(partition_of(id.value), std::move(change),
                     [this, id, next, held, settled](const auto& result)
                     { on_written(id, next, std::move(*held), settled, result); });
}

void program_spending::on_written(const program_id& id, const spending_row& next, std::vector<claim> admitted,
                                  const std::vector<settlement>& settled, const change_result& result)
{
    auto& entry = m_programs[id];
    entry.busy = false;
    if (result.outcome == store_outcome::done)
    {
        entry.row = next;
        entry.version = result.version;
        std::ranges::for_each(admitted, [](const claim& it) { answer(it, reservation_outcome::granted); });
        step(id);
        return;
    }
    // Not known to be done: what was claimed is claimed again.
    entry.claims.insert(entry.claims.begin(), std::make_move_iterator(admitted.begin()),
                        std::make_move_iterator(admitted.end()));
    if (result.outcome == store_outcome::conflict)
    {
        entry.settlements.insert(entry.settlements.begin(), settled.begin(), settled.end());
        adopt(entry, result.current, true);
    }
    else
    {
        // What was settled has been tried for its whole life; what has ended since is still to be settled.
        entry.row.reset();
    }
    step(id);
}

void program_spending::plan_flush(const program_id& id, program_entry& entry)
{
    if (entry.flush_planned)
    {
        return;
    }
    entry.flush_planned = true;
    m_delay(settlement_wait,
            [this, id]
            {
                const auto it = m_programs.find(id);
                if (it != m_programs.end())
                {
                    it->second.flush_planned = false;
                    step(id);
                }
            });
}

} // namespace masticcourse::gateway
