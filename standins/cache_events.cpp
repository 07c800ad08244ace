#include "cache_events.hpp"

namespace masticcourse::standins
{

namespace
{

constexpr std::size_t max_events = 4096;

} // namespace

cache_events::cache_events(core_duration delay, std::uint32_t loss_interval)
    : m_delay(delay), m_loss_interval(loss_interval)
{
}

void cache_events::observe(const std::vector<cached_program>& listing, core_time now)
{
    std::map<program_id, token_count> present;
    for (const auto& it : listing)
    {
        present.emplace(it.program, it.tokens);
        const auto previous = m_last_listing.find(it.program);
        if (previous == m_last_listing.end() || previous->second != it.tokens)
        {
            append_event(it.program, it.tokens, now);
        }
    }
    for (const auto& [program, tokens] : m_last_listing)
    {
        if (!present.contains(program))
        {
            append_event(program, 0, now);
        }
    }
    m_last_listing = std::move(present);
}

std::vector<cache_event> cache_events::visible_events(std::uint64_t after, core_time now) const
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

void cache_events::append_event(const program_id& program, token_count tokens, core_time now)
{
    m_last_number += 1;
    if (m_loss_interval != 0 && m_last_number % m_loss_interval == 0)
    {
        return;
    }
    m_events.push_back({.number = m_last_number, .program = program, .tokens = tokens, .at = now});
    if (m_events.size() > max_events)
    {
        m_events.pop_front();
    }
}

} // namespace masticcourse::standins
