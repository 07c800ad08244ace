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

namespace
{

/// Turns of one program that may be under way at a time: more than any program starts, and few enough that
/// its row stays within the store's limit.
constexpr std::size_t max_reserved_turns = 256;

} // namespace

program_spending::pending_write program_spending::prepare_write(program_entry& entry)
{
    pending_write write{.next = *entry.row, .submitted = m_clock()};
    // What has ended comes first: it is a fact, and makes room for reservations or takes it.
    apply_ends(entry, write);
    admit_reservations(entry, write);
    return write;
}

void program_spending::apply_ends(program_entry& entry, pending_write& write)
{
    auto& next = write.next;
    const auto settle = [&next](const unwritten_turn& it, const settled_turn& end)
    {
        end.recovered ? next.recover(it.request, end.tokens) : next.settle(it.request, end.tokens);
        return token_count{0};
    };
    const auto charge = [&next](const unwritten_turn& it, const charged_turn& end)
    {
        const bool was_reserved = next.has_reservation(it.request);
        next.charge(it.request, end.tokens);
        // What was reserved fitted the budget.
        return was_reserved ? token_count{0}
                            : std::clamp(next.committed() - it.budget, token_count{0}, end.tokens);
    };
    const auto apply = [&](unwritten_turn& it, const auto& apply_end)
    {
        it.being_written = true;
        write.ended.push_back({.request = it.request, .excess_tokens = apply_end()});
    };
    for (auto& it : entry.turns)
    {
        if (const auto* const end = std::get_if<settled_turn>(&it.state))
        {
            apply(it, [&] { return settle(it, *end); });
        }
    }
    // All that is settled makes room for what is charged.
    for (auto& it : entry.turns)
    {
        if (const auto* const end = std::get_if<charged_turn>(&it.state))
        {
            apply(it, [&] { return charge(it, *end); });
        }
    }
}

void program_spending::admit_reservations(program_entry& entry, pending_write& write)
{
    auto& next = write.next;
    std::vector<refused_turn> refused;
    for (auto& it : entry.turns)
    {
        if (!it.is_reserving())
        {
            continue;
        }
        const bool accounted_for = next.accounts_for(it.request);
        if (!accounted_for && next.reserved.size() >= max_reserved_turns)
        {
            refused.push_back({it.request, reservation_outcome::unavailable});
        }
        else if (accounted_for || next.committed() + it.max_tokens <= it.budget)
        {
            if (!accounted_for)
            {
                next.reserved.push_back({it.request, it.max_tokens});
            }
            entry.evidence.begin_here(it.request);
            it.being_written = true;
            write.reserved.push_back(it.request);
        }
        else if (const auto outcome = refusal_of(entry, next, it))
        {
            refused.push_back({it.request, *outcome});
        }
    }
    // The callbacks change the records.
    std::ranges::for_each(refused,
                          [&](const refused_turn& it) { fail_reservation(entry, it.request, it.outcome); });
}

std::optional<reservation_outcome> program_spending::refusal_of(const program_entry& entry,
                                                                const spending_row& row,
                                                                const unwritten_turn& turn) const
{
    switch (entry.evidence.basis(row, turn.requested, m_clock()))
    {
    case refusal_basis::sufficient:
        log_refusal(entry, row, turn);
        return reservation_outcome::over_budget;
    case refusal_basis::unavailable:
        return reservation_outcome::unavailable;
    case refusal_basis::lacks_row:
    case refusal_basis::lacks_turns:
        break;
    }
    return std::nullopt;
}

void program_spending::write(const program_id& id, program_entry& entry)
{
    entry.busy = true;
    const auto write = std::make_shared<const pending_write>(prepare_write(entry));
    if (write->reserved.empty() && write->ended.empty())
    {
        entry.busy = false;
        if (std::ranges::any_of(entry.turns, &unwritten_turn::is_reserving))
        {
            gather_evidence(id, entry);
        }
        else if (!entry.turns.empty())
        {
            // The ends of turns that were refused above.
            schedule_flush(id, entry);
        }
        return;
    }
    if (write->ended.empty() && write->next.reserved.size() == entry.row->reserved.size())
    {
        // The row already accounts for all admitted turns: the replies to earlier writes were lost.
        entry.busy = false;
        complete_write(entry, *write);
        process_pending(id);
        return;
    }
    auto expires = write->ended.empty() ? time_point{} : m_clock() + settlement_timeout;
    for (const auto& it : write->reserved)
    {
        expires = std::max(expires, find(entry, it)->expires);
    }
    row_change change{.condition = row_condition{{spending_table, id.value}, entry.version},
                      .puts = {{{spending_table, id.value}, encode(write->next)}},
                      .expires = expires};
    m_commits.submit(partition_of(id.value), std::move(change),
                     [this, id, write](const auto& result) { on_written(id, *write, result); });
}

void program_spending::on_written(const program_id& id, const pending_write& write,
                                  const change_result& result)
{
    auto& entry = entry_of(id);
    entry.busy = false;
    if (result.outcome == store_outcome::done)
    {
        entry.row = write.next;
        entry.version = result.version;
        entry.source = row_source::store;
        entry.evidence.confirm_row(write.submitted);
        complete_write(entry, write);
        process_pending(id);
        return;
    }
    if (result.outcome == store_outcome::refused)
    {
        on_write_refused(entry, write);
        schedule_flush(id, entry);
        return;
    }
    // The write failed or its outcome is unknown: try again.
    const bool conflict = result.outcome == store_outcome::conflict;
    for (auto& it : entry.turns)
    {
        auto* const reserving = std::get_if<reserving_turn>(&it.state);
        if (reserving != nullptr && (it.being_written || conflict))
        {
            // After a conflict, no earlier write can take effect any more: its condition fails as well.
            reserving->may_be_written = !conflict;
        }
        it.being_written = false;
    }
    if (conflict)
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

void program_spending::on_write_refused(program_entry& entry, const pending_write& write)
{
    // Nothing was written. What has ended is written again with less beside it.
    for (auto& it : entry.turns)
    {
        it.being_written = false;
    }
    std::ranges::for_each(write.reserved, [&](const request_id& it)
                          { fail_reservation(entry, it, reservation_outcome::unavailable); });
}

void program_spending::complete_write(program_entry& entry, const pending_write& write)
{
    std::vector<std::function<void()>> callbacks;
    // A turn that has ended since it was written is no longer in the state that was written, and stays.
    const auto take_written = [&entry](const request_id& request) -> std::optional<unwritten_turn>
    {
        auto* const turn = find(entry, request);
        if (turn == nullptr || !turn->being_written)
        {
            return std::nullopt;
        }
        auto taken = std::move(*turn);
        entry.turns.erase(entry.turns.begin() + std::distance(entry.turns.data(), turn));
        return taken;
    };
    for (const auto& it : write.reserved)
    {
        if (auto turn = take_written(it))
        {
            callbacks.emplace_back([on_result = std::move(std::get<reserving_turn>(turn->state).on_result)]
                                   { on_result(reservation_outcome::granted); });
        }
    }
    for (const auto& it : write.ended)
    {
        auto turn = take_written(it.request);
        auto* const charged = turn ? std::get_if<charged_turn>(&turn->state) : nullptr;
        if (charged != nullptr)
        {
            log_charge(entry, *turn, it.excess_tokens);
            callbacks.emplace_back([on_durable = std::move(charged->on_durable), excess = it.excess_tokens]
                                   { on_durable(excess); });
        }
    }
    std::ranges::for_each(callbacks, [](const auto& callback) { callback(); });
}

void program_spending::gather_evidence(const program_id& id, program_entry& entry)
{
    const auto now = m_clock();
    // Evidence that suffices for the latest turn suffices for all.
    time_point requested;
    for (const auto& it : entry.turns)
    {
        requested = it.is_reserving() ? std::max(requested, it.requested) : requested;
    }
    if (entry.evidence.basis(*entry.row, requested, now) == refusal_basis::lacks_row)
    {
        read(id, false);
        return;
    }
    look_up_turns(id, entry.evidence.unchecked_turns(*entry.row, requested, now));
}

void program_spending::look_up_turns(const program_id& id, const std::vector<request_id>& turns)
{
    entry_of(id).busy = true;
    // One more than the number of lookups, so that cached turns do not complete them before all have begun.
    const auto outstanding = std::make_shared<std::size_t>(turns.size() + 1);
    const auto on_one_end = [this, id, outstanding]
    {
        if (--*outstanding == 0)
        {
            entry_of(id).busy = false;
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
    auto& entry = entry_of(id);
    switch (end.progress)
    {
    case turn_progress::finished:
        log_event(event_id::turn_recovered,
                  {{"program", id.value}, {"turn", turn.value}, {"tokens", std::to_string(end.tokens)}});
        if (find(entry, turn) == nullptr)
        {
            end_turn(entry,
                     {.request = turn, .state = settled_turn{.tokens = end.tokens, .recovered = true}});
        }
        return;
    case turn_progress::unfinished:
        entry.evidence.found_unfinished(turn, asked_at);
        return;
    case turn_progress::unknown:
        entry.evidence.lookup_failed(asked_at);
        return;
    }
}

void program_spending::log_charge(const program_entry& entry, const unwritten_turn& turn,
                                  token_count excess_tokens)
{
    const auto& row = *entry.row;
    log_event(event_id::turn_charged, {{"request", turn.request.value},
                                       {"program", entry.id.value},
                                       {"tokens", std::to_string(turn.pending_tokens())},
                                       {"excess", std::to_string(excess_tokens)},
                                       {"budget", std::to_string(turn.budget)},
                                       {"spent", std::to_string(row.spent)},
                                       {"reserved", std::to_string(row.committed() - row.spent)},
                                       {"version", std::to_string(entry.version)}});
}

void program_spending::log_refusal(const program_entry& entry, const spending_row& row,
                                   const unwritten_turn& turn)
{
    std::string reserved;
    for (const auto& it : row.reserved)
    {
        reserved += (reserved.empty() ? "" : ",") + it.request.value + ':' + std::to_string(it.tokens);
    }
    log_event(event_id::turn_over_budget, {{"request", turn.request.value},
                                           {"program", entry.id.value},
                                           {"most", std::to_string(turn.max_tokens)},
                                           {"budget", std::to_string(turn.budget)},
                                           {"spent", std::to_string(row.spent)},
                                           {"reserved", reserved},
                                           {"version", std::to_string(entry.version)},
                                           {"row", std::string{to_string(entry.source)}}});
}

} // namespace masticcourse::gateway
