#include "masticcourse/state/program_state.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace masticcourse
{

apply_result program_table::apply(const journal_payload& payload)
{
    const auto apply_one = [this]<typename Record>(const Record& it)
    {
        if constexpr (std::is_same_v<Record, ownership_probe>)
        {
            return apply_result::repeated;
        }
        else
        {
            return apply_record(it);
        }
    };
    return std::visit(apply_one, payload);
}

const program_state* program_table::find(const program_id& program) const
{
    const auto it = m_programs.find(program);
    return it != m_programs.end() ? &it->second : nullptr;
}

const std::map<program_id, program_state>& program_table::programs() const
{
    return m_programs;
}

const std::map<program_id, history_damage>& program_table::damages() const
{
    return m_damages;
}

std::optional<program_snapshot> program_table::snapshot_of(const program_id& program) const
{
    const program_state* const it = find(program);
    if (it == nullptr)
    {
        return std::nullopt;
    }
    return program_snapshot{.program = it->program,
                            .spec = it->spec,
                            .spent = it->spent,
                            .escrow = it->escrow,
                            .ended = it->ended,
                            .turns = it->turns,
                            .intents = it->intents};
}

void program_table::erase(const program_id& program)
{
    m_programs.erase(program);
    m_damages.erase(program);
}

apply_result program_table::apply_record(const program_created& it)
{
    if (m_damages.contains(it.program))
    {
        return apply_result::damaged;
    }
    const auto [at, created] = m_programs.try_emplace(it.program);
    if (!created)
    {
        return at->second.spec == it.spec ? apply_result::repeated : damage(it.program, 0, 0);
    }
    at->second.program = it.program;
    at->second.spec = it.spec;
    return apply_result::applied;
}

apply_result program_table::apply_record(const escrow_taken& it)
{
    program_state* const state = known(it.program);
    if (state == nullptr)
    {
        return damage(it.program, 0, 0);
    }
    if (it.total <= state->escrow)
    {
        return apply_result::repeated;
    }
    state->escrow = it.total;
    return apply_result::applied;
}

apply_result program_table::apply_record(const call_intended& it)
{
    program_state* const state = known(it.program);
    if (state == nullptr)
    {
        return damage(it.program, 0, 0);
    }
    const bool finished = std::ranges::find(state->turns, it.request.key, &turn::key) != state->turns.end();
    const auto same = std::ranges::find(state->intents, it.request.key,
                                        [](const call_intended& each) { return each.request.key; });
    if (finished || (same != state->intents.end() && *same == it))
    {
        return apply_result::repeated;
    }
    if (same != state->intents.end())
    {
        // The call goes to another target after the first one has refused it for good.
        *same = it;
        return apply_result::applied;
    }
    state->intents.push_back(it);
    return apply_result::applied;
}

apply_result program_table::apply_record(const turn_committed& it)
{
    program_state* const state = known(it.program);
    if (state == nullptr)
    {
        return damage(it.program, 0, it.finished.number);
    }
    const auto next = static_cast<std::uint32_t>(state->turns.size() + 1);
    const std::uint32_t number = it.finished.number;
    if (number > 0 && number < next)
    {
        return state->turns[number - 1] == it.finished ? apply_result::repeated
                                                       : damage(it.program, next, number);
    }
    if (number != next)
    {
        return damage(it.program, next, number);
    }
    state->turns.push_back(it.finished);
    state->spent = it.spent;
    std::erase_if(state->intents,
                  [&](const call_intended& each) { return each.request.key == it.finished.key; });
    return apply_result::applied;
}

apply_result program_table::apply_record(const intent_withdrawn& it)
{
    program_state* const state = known(it.program);
    if (state == nullptr)
    {
        return damage(it.program, 0, 0);
    }
    const auto removed =
        std::erase_if(state->intents, [&](const call_intended& each) { return each.request.key == it.key; });
    return removed > 0 ? apply_result::applied : apply_result::repeated;
}

apply_result program_table::apply_record(const program_ended& it)
{
    program_state* const state = known(it.program);
    if (state == nullptr)
    {
        return damage(it.program, 0, 0);
    }
    const bool ended_before = state->ended;
    state->ended = true;
    return ended_before ? apply_result::repeated : apply_result::applied;
}

apply_result program_table::apply_record(const program_snapshot& it)
{
    program_state& state = m_programs[it.program];
    program_state snapshot{.program = it.program,
                           .spec = it.spec,
                           .spent = it.spent,
                           .escrow = it.escrow,
                           .ended = it.ended,
                           .turns = it.turns,
                           .intents = it.intents};
    const bool mended = m_damages.erase(it.program) > 0;
    if (!mended && state == snapshot)
    {
        return apply_result::repeated;
    }
    state = std::move(snapshot);
    return apply_result::applied;
}

program_state* program_table::known(const program_id& program)
{
    const auto it = m_programs.find(program);
    return it != m_programs.end() ? &it->second : nullptr;
}

apply_result program_table::damage(const program_id& program, std::uint32_t expected, std::uint32_t found)
{
    m_programs.erase(program);
    // The first gap is the one that tells what is missing.
    m_damages.try_emplace(program, history_damage{.program = program, .expected = expected, .found = found});
    return apply_result::damaged;
}

} // namespace masticcourse
