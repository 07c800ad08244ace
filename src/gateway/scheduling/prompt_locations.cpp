#include "masticcourse/gateway/scheduling/prompt_locations.hpp"

#include <algorithm>
#include <xxhash.h>

namespace masticcourse::gateway
{

namespace
{

/// Engines evict the least recently used parts: at a usual load, requests fill the memory of an engine anew
/// within a few seconds. Turns of a program follow one another faster.
constexpr seconds entry_lifetime{5};
/// Targets remembered for each part. A program's own parts are at one or two targets.
constexpr std::size_t max_holders = 6;
/// Parts of one prompt that are considered; bounds the work for a request with a very long list.
constexpr std::size_t max_prompt_parts = 32;

std::span<const prompt_part> leading_parts(std::span<const prompt_part> prompt)
{
    return prompt.first(std::min(prompt.size(), max_prompt_parts));
}

bool is_fresh(time_point used, time_point now)
{
    return now - used <= entry_lifetime;
}

} // namespace

token_count cached_prefixes::at(const target_instance& target) const
{
    const auto it = std::ranges::find(m_holders, target, &holder::target);
    return it != m_holders.end() ? it->tokens : m_elsewhere;
}

token_count prompt_locations::part_entry::tokens_elsewhere(time_point now) const
{
    return now <= widespread_until ? widespread_tokens : 0;
}

token_count prompt_locations::part_entry::tokens_at(const target_instance& target, time_point now) const
{
    const auto it = std::ranges::find(holders, target, &holder::target);
    const bool holds = it != holders.end() && is_fresh(it->used, now);
    return holds ? it->tokens : tokens_elsewhere(now);
}

void prompt_locations::part_entry::record(const holder& added)
{
    // A restarted target has lost what it held.
    const auto known =
        std::ranges::find(holders, added.target.id, [](const holder& it) { return it.target.id; });
    if (known != holders.end())
    {
        const bool still_held = known->target == added.target && is_fresh(known->used, added.used);
        const auto tokens = still_held ? std::max(known->tokens, added.tokens) : added.tokens;
        *known = {added.target, tokens, added.used};
        return;
    }
    if (holders.size() < max_holders)
    {
        holders.push_back(added);
        return;
    }
    auto& oldest = *std::ranges::min_element(holders, {}, &holder::used);
    if (is_fresh(oldest.used, added.used))
    {
        // If the remembered targets alone counted as holders of a part that many programs share, all of these
        // programs would be sent to them.
        widespread_until = oldest.used + entry_lifetime;
        widespread_tokens = oldest.tokens;
    }
    oldest = added;
}

prompt_locations::prompt_locations(std::size_t max_parts) : m_max_parts(std::max<std::size_t>(max_parts, 1))
{
}

prompt_locations::part_key prompt_locations::next_key(part_key previous, const prompt_part& part)
{
    return XXH3_64bits_withSeed(part.id.data(), part.id.size(), previous);
}

prompt_locations::part_entry& prompt_locations::touch(part_key key)
{
    if (const auto it = m_index.find(key); it != m_index.end())
    {
        m_entries.splice(m_entries.begin(), m_entries, it->second);
        return m_entries.front();
    }
    if (m_entries.size() >= m_max_parts)
    {
        m_index.erase(m_entries.back().key);
        m_entries.pop_back();
    }
    m_entries.push_front({.key = key});
    m_index.emplace(key, m_entries.begin());
    return m_entries.front();
}

const prompt_locations::part_entry* prompt_locations::find_entry(part_key key) const
{
    const auto it = m_index.find(key);
    return it != m_index.end() ? &*it->second : nullptr;
}

void prompt_locations::record(const target_instance& target, std::span<const prompt_part> prompt,
                              token_count output, time_point now)
{
    part_key key = 0;
    for (const auto& part : leading_parts(prompt))
    {
        key = next_key(key, part);
        const bool last = &part == &prompt.back();
        const auto tokens = part.tokens + (last ? std::max<token_count>(output, 0) : 0);
        touch(key).record({target, tokens, now});
    }
}

template <typename Function>
token_count prompt_locations::sum_of_leading_parts(std::span<const prompt_part> prompt, Function held) const
{
    token_count sum = 0;
    part_key key = 0;
    for (const auto& part : leading_parts(prompt))
    {
        key = next_key(key, part);
        const auto* const entry = find_entry(key);
        const auto tokens = entry != nullptr ? std::min(held(*entry), part.tokens) : 0;
        sum += std::max<token_count>(tokens, 0);
        if (tokens < part.tokens)
        {
            break;
        }
    }
    return sum;
}

token_count prompt_locations::cached_tokens(const target_instance& target,
                                            std::span<const prompt_part> prompt, time_point now) const
{
    return sum_of_leading_parts(prompt,
                                [&](const part_entry& entry) { return entry.tokens_at(target, now); });
}

cached_prefixes prompt_locations::find(std::span<const prompt_part> prompt, time_point now) const
{
    cached_prefixes found;
    found.m_elsewhere =
        sum_of_leading_parts(prompt, [&](const part_entry& entry) { return entry.tokens_elsewhere(now); });
    part_key key = 0;
    for (const auto& part : leading_parts(prompt))
    {
        key = next_key(key, part);
        const auto* const entry = find_entry(key);
        if (entry == nullptr)
        {
            break;
        }
        for (const auto& it : entry->holders)
        {
            if (std::ranges::find(found.m_holders, it.target, &cached_prefixes::holder::target) ==
                found.m_holders.end())
            {
                found.m_holders.push_back({it.target, cached_tokens(it.target, prompt, now)});
            }
        }
    }
    return found;
}

} // namespace masticcourse::gateway
