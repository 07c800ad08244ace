#include "cache_events.hpp"

namespace masticcourse::standins
{

namespace
{

constexpr std::size_t max_events = 4096;

} // namespace

cache_events::cache_events(core_duration delay, std::uint32_t gap) : m_delay(delay), m_gap(gap) {}

void cache_events::observe(const std::vector<cached_program>& listing, core_time now)
{
    std::map<program_id, token_count> present;
    for (const auto& it : listing)
    {
        present.emplace(it.program, it.tokens);
        const auto known = m_known.find(it.program);
        if (known == m_known.end() || known->second != it.tokens)
        {
            add(it.program, it.tokens, now);
        }
    }
    for (const auto& [program, tokens] : m_known)
    {
        if (!present.contains(program))
        {
            add(program, 0, now);
        }
    }
    m_known = std::move(present);
}

std::vector<cache_event> cache_events::told(std::uint64_t after, core_time now) const
{
    std::vector<cache_event> events;
    for (const auto& it : m_events)
    {
        if (it.number > after && it.at + m_delay <= now)
        {
            events.push_back(it);
        }
    }
    return events;
}

void cache_events::add(const program_id& program, token_count tokens, core_time now)
{
    m_last += 1;
    if (m_gap != 0 && m_last % m_gap == 0)
    {
        return;
    }
    m_events.push_back({.number = m_last, .program = program, .tokens = tokens, .at = now});
    if (m_events.size() > max_events)
    {
        m_events.pop_front();
    }
}

} // namespace masticcourse::standins
