#include "masticcourse/state/recovered_journals.hpp"

#include <algorithm>
#include <ranges>
#include <utility>

namespace masticcourse
{

recovered_journals::recovered_journals(incarnation_id reader, retry_options retry)
    : m_reader(std::move(reader)), m_retry(retry)
{
}

void recovered_journals::seal(const incarnation_id& journal)
{
    recovery_of(journal).seal();
}

void recovered_journals::read(const journal_part& part)
{
    recovery_of(part.journal).read(part.from_index, part.until);
}

std::optional<std::uint64_t> recovered_journals::end_of(const incarnation_id& journal) const
{
    const auto it = m_journals.find(journal);
    return it != m_journals.end() ? it->second.end() : std::nullopt;
}

bool recovered_journals::has(const journal_part& part) const
{
    const auto it = m_journals.find(part.journal);
    return it != m_journals.end() && part.until && it->second.has(part.from_index, *part.until);
}

std::vector<journal_record> recovered_journals::records(const journal_part& part, shard_index shard) const
{
    std::vector<journal_record> result;
    const auto& entries = m_journals.at(part.journal).entries();
    for (auto it = entries.lower_bound(part.from_index); it != entries.end() && it->first < part.until; ++it)
    {
        std::ranges::copy_if(it->second.records, std::back_inserter(result),
                             [&](const journal_record& each) { return each.shard == shard; });
    }
    return result;
}

std::vector<damaged_entry> recovered_journals::damages(const journal_part& part) const
{
    std::vector<damaged_entry> result;
    std::ranges::copy_if(m_journals.at(part.journal).damages(), std::back_inserter(result),
                         [&](const damaged_entry& it)
                         { return it.index >= part.from_index && it.index < part.until; });
    return result;
}

void recovered_journals::clear()
{
    m_journals.clear();
    m_in_flight.reset();
}

std::optional<store_op> recovered_journals::poll(core_time now)
{
    if (m_in_flight)
    {
        return std::nullopt;
    }
    // Round robin, from the journal after the last one.
    const auto first = m_journals.upper_bound(m_last);
    const auto try_range = [&](auto begin, auto end) -> std::optional<store_op>
    {
        for (auto it = begin; it != end; ++it)
        {
            if (auto op = it->second.poll(now))
            {
                m_last = it->first;
                m_in_flight = it->first;
                return op;
            }
        }
        return std::nullopt;
    };
    auto result = try_range(first, m_journals.end());
    return result ? result : try_range(m_journals.begin(), first);
}

void recovered_journals::on_reply(const store_reply& reply, core_time now)
{
    const auto journal = std::exchange(m_in_flight, std::nullopt);
    if (journal && m_journals.contains(*journal))
    {
        m_journals.at(*journal).on_reply(reply, now);
    }
}

core_time recovered_journals::next_wakeup() const
{
    core_time result = core_time::max();
    if (!m_in_flight)
    {
        std::ranges::for_each(m_journals | std::views::values,
                              [&](const auto& it) { result = std::min(result, it.next_wakeup()); });
    }
    return result;
}

journal_recovery& recovered_journals::recovery_of(const incarnation_id& journal)
{
    return m_journals.try_emplace(journal, journal, m_reader, m_retry).first->second;
}

} // namespace masticcourse
