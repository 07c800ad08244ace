#include "masticcourse/gateway/feed/feed_tree.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>

namespace masticcourse::gateway
{

namespace
{

using feed_rank = std::tuple<bool, double, std::string>;

feed_rank rank_of(const peer& it)
{
    return {has_min_cores(it), rendezvous_score(it, "feed"), it.address};
}

/// @param position a position in the order of ranks, beyond the roots
std::size_t parent_of(std::size_t position)
{
    return (position - feed_roots) / feed_fanout;
}

} // namespace

void feed_tree::set(std::span<const peer> others)
{
    m_sources.clear();
    m_depth = 0;
    const auto own_rank = rank_of(m_self);
    std::vector<feed_rank> higher;
    for (const auto& it : others)
    {
        if (it.domain == m_self.domain)
        {
            higher.push_back(rank_of(it));
        }
    }
    std::erase_if(higher, [&own_rank](const feed_rank& it) { return it <= own_rank; });
    if (higher.size() < feed_roots)
    {
        return;
    }
    std::ranges::sort(higher, std::greater{});
    const auto add_source = [&](std::size_t position)
    {
        const auto& address = std::get<std::string>(higher[position]);
        if (std::ranges::find(m_sources, address) == m_sources.end())
        {
            m_sources.push_back(address);
        }
    };
    auto position = higher.size();
    while (position >= feed_roots)
    {
        position = parent_of(position);
        add_source(position);
        ++m_depth;
    }
    for (std::size_t root = 0; root < feed_roots; ++root)
    {
        add_source(root);
    }
}

} // namespace masticcourse::gateway
