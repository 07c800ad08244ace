#include "state_oracle.hpp"

#include <algorithm>

namespace masticcourse::tests
{

void state_oracle::taken(shard_index shard, epoch_number epoch, const incarnation_id& owner,
                         const program_table& recovered)
{
    const auto [it, first] = m_owners.try_emplace({shard, epoch}, owner);
    check(first || it->second == owner, "two owners of one epoch");
    check(recovered.damages().empty(), "a recovered history has a gap");
    if (epoch < m_newest[shard].epoch)
    {
        // It slept between its last look at the row and now: the seal keeps it from doing anything.
        return;
    }
    newest_home home{.epoch = epoch};
    for (const auto& [program, state] : recovered.programs())
    {
        home.recovered.emplace(program, state.turns);
    }
    for (const auto& program : m_programs[shard])
    {
        check(home.recovered.contains(program), "an acknowledged program is lost: " + program.value);
        const auto& acknowledged = m_acknowledged[program];
        const auto& turns = home.recovered[program];
        const bool kept = turns.size() >= acknowledged.size() &&
                          std::equal(acknowledged.begin(), acknowledged.end(), turns.begin());
        check(kept, "an acknowledged turn is lost or changed: " + program.value);
    }
    for (const auto& [program, turns] : home.recovered)
    {
        // What a successor has read stands, whether or not its caller has heard of it.
        auto& acknowledged = m_acknowledged[program];
        acknowledged = turns.size() > acknowledged.size() ? turns : acknowledged;
    }
    check_recovered(home);
    m_newest[shard] = std::move(home);
}

void state_oracle::check_recovered(const newest_home& home)
{
    for (const auto& [program, turns] : home.recovered)
    {
        const auto& appended = m_appended[program];
        const bool known = std::ranges::all_of(turns, [&](const turn& it)
                                               { return std::ranges::find(appended, it) != appended.end(); });
        check(known, "a recovered turn was never written: " + program.value);
    }
}

void state_oracle::program_acknowledged(shard_index shard, epoch_number epoch, const program_id& program)
{
    m_programs[shard].insert(program);
    const newest_home& newest = m_newest[shard];
    check(newest.epoch <= epoch || newest.recovered.contains(program),
          "a program acknowledged after a takeover that doesn't know it: " + program.value);
}

void state_oracle::turn_appended(const program_id& program, const turn& finished)
{
    m_appended[program].push_back(finished);
}

void state_oracle::turn_acknowledged(shard_index shard, epoch_number epoch, const program_id& program,
                                     const turn& finished)
{
    ++m_acknowledged_turns;
    auto& turns = m_acknowledged[program];
    if (finished.number <= turns.size())
    {
        check(turns[finished.number - 1] == finished, "two outcomes of one turn: " + program.value);
        return;
    }
    check(finished.number == turns.size() + 1, "turns acknowledged out of order: " + program.value);
    turns.push_back(finished);
    const newest_home& newest = m_newest[shard];
    if (newest.epoch > epoch)
    {
        const auto it = newest.recovered.find(program);
        const bool known = it != newest.recovered.end() && it->second.size() >= finished.number;
        check(known, "acknowledged after a takeover that doesn't know it: " + program.value);
    }
}

void state_oracle::ran(const program_id& root, token_count budget, const program_id& program,
                       const call_key& key, bool idempotent, token_count cost)
{
    const unsigned runs = ++m_runs[{program, key}];
    check(idempotent || runs == 1, "a call that is not idempotent ran twice: " + program.value);
    m_spent[root] += cost;
    check(m_spent[root] <= budget, "a program spent more than its budget: " + root.value);
}

bool state_oracle::has_run(const program_id& program, const call_key& key) const
{
    return m_runs.contains({program, key});
}

void state_oracle::check(bool good, const std::string& what)
{
    if (!good)
    {
        m_violations.push_back(what);
    }
}

const std::vector<std::string>& state_oracle::violations() const
{
    return m_violations;
}

std::uint64_t state_oracle::acknowledged_turns() const
{
    return m_acknowledged_turns;
}

std::uint64_t state_oracle::takeovers() const
{
    return m_owners.size();
}

} // namespace masticcourse::tests
