// Writes of a program's row: which reservations are admitted, and which turns are refused on what evidence.
#include "masticcourse/gateway/program_spending.hpp"

#include "spending_table.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <memory>
#include <ranges>
#include <utility>

namespace masticcourse::gateway
{

void program_spending::admit_pending(program_entry& entry, pending_write& write) const
{
    auto& next = write.next;
    std::vector<pending_reservation> undecided;
    for (auto& it : std::exchange(entry.pending, {}))
    {
        const bool accounted_for = next.accounts_for(it.request.request);
        const bool fits = next.committed() + it.request.tokens <= it.request.budget;
        const bool is_charge = std::holds_alternative<charge_callback>(it.on_result);
        if (accounted_for || fits || is_charge)
        {
            if (!accounted_for)
            {
                next.reserved.push_back({it.request.request, it.request.tokens});
            }
            entry.evidence.begin_here(it.request.request);
            it.excess_tokens =
                std::clamp(next.committed() - it.request.budget, token_count{0}, it.request.tokens);
            write.admitted.push_back(std::move(it));
        }
        else if (!try_refuse(entry, next, it))
        {
            undecided.push_back(std::move(it));
        }
    }
    entry.pending.insert(entry.pending.begin(), std::make_move_iterator(undecided.begin()),
                         std::make_move_iterator(undecided.end()));
}

bool program_spending::try_refuse(const program_entry& entry, const spending_row& row,
                                  const pending_reservation& it) const
{
    switch (entry.evidence.basis(row, it.requested, m_clock()))
    {
    case refusal_basis::sufficient:
        log_refusal(entry, row, it.request);
        complete(it, reservation_outcome::over_budget);
        return true;
    case refusal_basis::unavailable:
        complete(it, reservation_outcome::unavailable);
        return true;
    case refusal_basis::lacks_row:
    case refusal_basis::lacks_turns:
        break;
    }
    return false;
}

program_spending::pending_write program_spending::prepare_write(program_entry& entry) const
{
    pending_write write{
        .next = *entry.row, .settled = std::exchange(entry.settlements, {}), .submitted = m_clock()};
    const auto has_pending = [&entry](const settlement& it)
    {
        return std::ranges::any_of(entry.pending, [&it](const pending_reservation& one)
                                   { return one.request.request == it.request; });
    };
    const auto settle = [&next = write.next](const settlement& it)
    { it.recovered ? next.recover(it.request, it.tokens) : next.settle(it.request, it.tokens); };
    std::ranges::for_each(write.settled | std::views::filter(std::not_fn(has_pending)), settle);
    admit_pending(entry, write);
    // A turn may have ended while the write of its reservation failed. The reservation is then admitted again
    // above and settled here.
    std::ranges::for_each(write.settled, settle);
    return write;
}

void program_spending::write(const program_id& id, program_entry& entry)
{
    entry.busy = true;
    auto write = std::make_shared<pending_write>(prepare_write(entry));
    if (write->admitted.empty() && write->settled.empty())
    {
        entry.busy = false;
        if (!entry.pending.empty())
        {
            gather_evidence(id, entry);
        }
        else if (!entry.settlements.empty())
        {
            // Those of turns that were refused above.
            schedule_flush(id, entry);
        }
        return;
    }
    if (write->settled.empty() && write->next.reserved.size() == entry.row->reserved.size())
    {
        // The row already accounts for all admitted turns: the replies to earlier writes were lost.
        entry.busy = false;
        std::ranges::for_each(write->admitted, [](const pending_reservation& it)
                              { complete(it, reservation_outcome::granted); });
        process_pending(id);
        return;
    }
    auto expires = write->settled.empty() ? time_point{} : m_clock() + settlement_timeout;
    std::ranges::for_each(write->admitted, [&expires](const pending_reservation& it)
                          { expires = std::max(expires, it.request.expires); });
    row_change change{.condition = row_condition{{spending_table, id.value}, entry.version},
                      .puts = {{{spending_table, id.value}, encode(write->next)}},
                      .expires = expires};
    m_commits.submit(partition_of(id.value), std::move(change),
                     [this, id, write](const auto& result) { on_written(id, std::move(*write), result); });
}

void program_spending::on_written(const program_id& id, pending_write write, const change_result& result)
{
    auto& entry = m_programs[id];
    entry.busy = false;
    if (result.outcome == store_outcome::done)
    {
        entry.row = std::move(write.next);
        entry.version = result.version;
        entry.source = row_source::store;
        entry.evidence.confirm_row(write.submitted);
        for (const auto& it : write.admitted)
        {
            if (std::holds_alternative<charge_callback>(it.on_result))
            {
                log_charge(entry, it);
            }
            complete(it, reservation_outcome::granted);
        }
        process_pending(id);
        return;
    }
    // The write failed or its outcome is unknown: try again.
    entry.pending.insert(entry.pending.begin(), std::make_move_iterator(write.admitted.begin()),
                         std::make_move_iterator(write.admitted.end()));
    entry.settlements.insert(entry.settlements.begin(), std::make_move_iterator(write.settled.begin()),
                             std::make_move_iterator(write.settled.end()));
    if (result.outcome == store_outcome::conflict)
    {
        apply_row(entry, result.current, result.current_source, write.submitted);
    }
    else
    {
        // If the write was applied after all, the next one conflicts and returns the row.
        entry.evidence.distrust_row();
    }
    process_pending(id);
}

void program_spending::gather_evidence(const program_id& id, program_entry& entry)
{
    const auto now = m_clock();
    // Evidence that suffices for the latest turn suffices for all.
    const auto requested = std::ranges::max(entry.pending, {}, &pending_reservation::requested).requested;
    if (entry.evidence.basis(*entry.row, requested, now) == refusal_basis::lacks_row)
    {
        read(id, false);
        return;
    }
    look_up_turns(id, entry.evidence.unchecked_turns(*entry.row, requested, now));
}

void program_spending::look_up_turns(const program_id& id, const std::vector<request_id>& turns)
{
    m_programs[id].busy = true;
    // One more than the number of lookups, so that cached turns do not complete them before all have begun.
    const auto outstanding = std::make_shared<std::size_t>(turns.size() + 1);
    const auto on_one_end = [this, id, outstanding]
    {
        if (--*outstanding == 0)
        {
            m_programs[id].busy = false;
            process_pending(id);
        }
    };
    for (const auto& turn : turns)
    {
        m_turns.find_end(turn,
                         [this, id, turn, asked_at = m_clock(), on_one_end](const turn_end& end)
                         {
                             on_turn_end(id, turn, asked_at, end);
                             on_one_end();
                         });
    }
    on_one_end();
}

void program_spending::on_turn_end(const program_id& id, const request_id& turn, time_point asked_at,
                                   const turn_end& end)
{
    auto& entry = m_programs[id];
    switch (end.progress)
    {
    case turn_progress::finished:
        log_event(event_id::turn_recovered,
                  {{"program", id.value}, {"turn", turn.value}, {"tokens", std::to_string(end.tokens)}});
        queue_settlement(id, {.request = turn, .tokens = end.tokens, .recovered = true});
        return;
    case turn_progress::unfinished:
        entry.evidence.found_unfinished(turn, asked_at);
        return;
    case turn_progress::unknown:
        entry.evidence.lookup_failed(asked_at);
        return;
    }
}

void program_spending::log_charge(const program_entry& entry, const pending_reservation& charged)
{
    const auto& request = charged.request;
    log_event(event_id::turn_charged,
              {{"request", request.request.value},
               {"program", request.program.value},
               {"tokens", std::to_string(request.tokens)},
               {"excess", std::to_string(charged.excess_tokens)},
               {"budget", std::to_string(request.budget)},
               {"spent", std::to_string(entry.row->spent)},
               {"reserved", std::to_string(entry.row->committed() - entry.row->spent)},
               {"version", std::to_string(entry.version)}});
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

} // namespace masticcourse::gateway
