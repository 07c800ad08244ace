#include "masticcourse/state/budget_ledger.hpp"

#include "masticcourse/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse
{

budget_ledger::budget_ledger(program_id root, token_count budget, token_count escrow, token_count settled,
                             token_count chunk)
    : m_root(std::move(root)), m_chunk(std::max<token_count>(chunk, 1)), m_escrow(std::max(escrow, settled)),
      m_requested(m_escrow), m_stranded(m_escrow - settled)
{
    // What a former owner took and did not settle in a committed turn counts as spent.
    m_members[m_root] = {.budget = budget, .spent = m_escrow};
}

bool budget_ledger::add(const program_id& program, const program_id& parent, token_count budget,
                        token_count spent)
{
    if (!m_members.contains(parent))
    {
        return false;
    }
    m_members.try_emplace(program, member{.parent = parent, .budget = budget, .spent = spent});
    return true;
}

std::optional<reservation> budget_ledger::reserve(token_count cost)
{
    return reserve(m_root, cost);
}

std::optional<reservation> budget_ledger::reserve(const program_id& program, token_count cost)
{
    if (cost < 0 || cost > free_escrow() || !affordable(program, cost))
    {
        return std::nullopt;
    }
    for_each_up(program, [&](member& it) { it.reserved += cost; });
    const reservation result{.id = m_next_reservation++, .program = program, .amount = cost};
    m_held.emplace(result.id, result);
    check_bounds();
    return result;
}

token_count budget_ledger::settle(const reservation& held, token_count actual)
{
    if (m_held.erase(held.id) == 0)
    {
        return 0;
    }
    const token_count charged =
        std::clamp<token_count>(actual, 0, held.amount + std::min(free_escrow(), room(held.program)));
    m_overrun += std::max<token_count>(actual - charged, 0);
    for_each_up(held.program,
                [&](member& it)
                {
                    it.reserved -= held.amount;
                    it.spent += charged;
                });
    check_bounds();
    return charged;
}

void budget_ledger::cancel(const reservation& held)
{
    static_cast<void>(settle(held, 0));
}

bool budget_ledger::affordable(const program_id& program, token_count cost) const
{
    return m_members.contains(program) && cost <= room(program);
}

std::optional<token_count> budget_ledger::needs_escrow(token_count cost) const
{
    const member& root = m_members.at(m_root);
    // Half a chunk is kept free, so that the next call need not wait for the journal.
    const token_count wanted = root.spent + root.reserved + std::max(cost, m_chunk / 2);
    if (wanted <= m_requested || m_requested >= root.budget)
    {
        return std::nullopt;
    }
    return std::min(root.budget, std::max(wanted, m_requested + m_chunk));
}

void budget_ledger::escrow_requested(token_count total)
{
    m_requested = std::max(m_requested, total);
}

void budget_ledger::escrow_durable(token_count total)
{
    m_escrow = std::max(m_escrow, std::min(total, budget()));
    m_requested = std::max(m_requested, m_escrow);
}

token_count budget_ledger::budget() const
{
    return m_members.at(m_root).budget;
}

token_count budget_ledger::spent() const
{
    return m_members.at(m_root).spent;
}

token_count budget_ledger::spent(const program_id& program) const
{
    const auto it = m_members.find(program);
    return it != m_members.end() ? it->second.spent : 0;
}

token_count budget_ledger::reserved() const
{
    return m_members.at(m_root).reserved;
}

token_count budget_ledger::escrow() const
{
    return m_escrow;
}

token_count budget_ledger::stranded() const
{
    return m_stranded;
}

token_count budget_ledger::at_risk() const
{
    return m_escrow - spent();
}

token_count budget_ledger::overrun() const
{
    return m_overrun;
}

template <typename Change>
void budget_ledger::for_each_up(const program_id& program, Change change)
{
    for (auto it = m_members.find(program); it != m_members.end(); it = m_members.find(it->second.parent))
    {
        change(it->second);
    }
}

token_count budget_ledger::room(const program_id& program) const
{
    token_count result = budget();
    for (auto it = m_members.find(program); it != m_members.end(); it = m_members.find(it->second.parent))
    {
        result = std::min(result, it->second.budget - it->second.spent - it->second.reserved);
    }
    return std::max<token_count>(result, 0);
}

void budget_ledger::check_bounds() const
{
    MASTICCOURSE_INVARIANT(free_escrow() >= 0, "a program spends more than its durable escrow");
    MASTICCOURSE_INVARIANT(m_escrow <= budget(), "escrow above the budget");
}

token_count budget_ledger::free_escrow() const
{
    const member& root = m_members.at(m_root);
    return m_escrow - root.spent - root.reserved;
}

} // namespace masticcourse
