#include "masticcourse/gateway/peer_directory.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// Exclusion of a gateway that did not respond; doubles with each consecutive failure. A gateway that froze
/// temporarily returns within seconds; one that is permanently gone delays one commit in twenty.
constexpr milliseconds initial_exclusion{1'500};
constexpr milliseconds max_exclusion{20'000};
/// Minimum exclusion of a gateway that cannot reach the store; it probes the store about as often. Longer
/// exclusions after a global outage would leave the gateways with different collectors.
constexpr milliseconds min_store_exclusion{300};
/// A gateway is excluded for half of the time that it has been unable to reach the store, up to this limit:
/// long enough that requests from many gateways are cheap for it, short enough that its partitions return to
/// it soon after it recovers.
constexpr milliseconds max_store_exclusion{2'400};
constexpr int store_exclusion_divisor = 2;

/// The gateways next in order that are told news directly; small sites need no second hop.
constexpr std::size_t flood_direct_neighbours = 8;

/// Time that an unresponsive gateway has to reply to a probe before further requests are sent to it.
constexpr milliseconds probe_timeout{1'000};

} // namespace

void peer_directory::set(std::vector<peer> peers)
{
    std::erase_if(peers, [this](const peer& it) { return it.address == m_self.address; });
    m_others = std::move(peers);
    m_feed_tree.set(m_others);
}

std::size_t peer_directory::gateways_with_min_cores() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_others, has_min_cores)) +
           (has_min_cores(m_self) ? 1 : 0);
}

std::size_t peer_directory::eligible_gateways() const
{
    const auto with_min_cores = gateways_with_min_cores();
    return with_min_cores > 0 ? with_min_cores : m_others.size() + 1;
}

bool peer_directory::is_eligible() const
{
    return has_min_cores(m_self) || gateways_with_min_cores() == 0;
}

milliseconds peer_directory::scaled_interval(milliseconds minimum,
                                             std::chrono::microseconds per_gateway) const
{
    const auto gateways = static_cast<milliseconds::rep>(m_others.size() + 1);
    return std::max(minimum, std::chrono::ceil<milliseconds>(gateways * per_gateway));
}

std::optional<std::string> peer_directory::feed_source(time_point now) const
{
    const auto& sources = m_feed_tree.sources();
    const auto it = std::ranges::find_if(sources, [&](const auto& one) { return !unresponsive(one, now); });
    return it != sources.end() ? std::optional{*it} : std::nullopt;
}

bool peer_directory::unresponsive(const std::string& address, time_point now) const
{
    const auto it = m_exclusions.find(address);
    return it != m_exclusions.end() && it->second.unresponsive_until > now;
}

bool peer_directory::excluded(const std::string& address, time_point now) const
{
    const auto it = m_exclusions.find(address);
    return it != m_exclusions.end() &&
           std::max(it->second.unresponsive_until, it->second.store_excluded_until) > now;
}

std::vector<std::string> peer_directory::choose(std::size_t max_count, time_point now,
                                                std::string_view preferred)
{
    std::vector<std::string> chosen;
    for (const auto& it : m_others)
    {
        if (!excluded(it.address, now))
        {
            chosen.push_back(it.address);
        }
    }
    std::ranges::shuffle(chosen, m_random);
    std::ranges::partition(chosen, [&](const std::string& it) { return it == preferred; });
    chosen.resize(std::min(chosen.size(), max_count));
    return chosen;
}

std::vector<std::string> peer_directory::flood_neighbours(time_point now) const
{
    std::vector<std::string> ring;
    std::ranges::transform(m_others, std::back_inserter(ring), &peer::address);
    std::ranges::sort(ring);
    std::ranges::rotate(ring, std::ranges::upper_bound(ring, m_self.address));
    std::vector<std::string> chosen;
    std::size_t next = 0;
    for (std::size_t distance = 0; distance < ring.size();
         distance = distance < flood_direct_neighbours ? distance + 1 : distance * 2)
    {
        // Unresponsive gateways are replaced by the ones behind them.
        next = std::max(next, distance);
        while (next < ring.size() && unresponsive(ring[next], now))
        {
            ++next;
        }
        if (next < ring.size())
        {
            chosen.push_back(ring[next]);
            ++next;
        }
    }
    return chosen;
}

std::optional<std::string> peer_directory::collector_of(std::string_view partition, time_point now,
                                                        bool self_store_unreachable) const
{
    return highest_ranked(
        partition, [&](const std::string& address) { return excluded(address, now); },
        self_store_unreachable);
}

std::optional<std::string> peer_directory::collector_ignoring_store(std::string_view partition,
                                                                    time_point now) const
{
    return highest_ranked(
        partition, [&](const std::string& address) { return unresponsive(address, now); }, false);
}

template <typename Predicate>
std::optional<std::string> peer_directory::highest_ranked(std::string_view partition, Predicate skip,
                                                          bool rank_self_last) const
{
    const auto rank = [partition](const peer& it, bool is_last) {
        return std::tuple{!is_last, has_min_cores(it), rendezvous_score(it, partition)};
    };
    const peer* best = &m_self;
    auto best_rank = rank(m_self, rank_self_last);
    for (const auto& it : m_others)
    {
        const auto its_rank = rank(it, false);
        if (its_rank > best_rank && !skip(it.address))
        {
            best = &it;
            best_rank = its_rank;
        }
    }
    return best != &m_self ? std::optional{best->address} : std::nullopt;
}

void peer_directory::answered(const std::string& address)
{
    m_exclusions.erase(address);
}

void peer_directory::responded(const std::string& address)
{
    if (const auto it = m_exclusions.find(address); it != m_exclusions.end())
    {
        it->second.failures = 0;
        it->second.unresponsive_until = {};
    }
}

void peer_directory::mark_store_unreachable(const std::string& address, time_point now,
                                            duration unreachable_for)
{
    const duration exclusion_time = unreachable_for / store_exclusion_divisor;
    const auto bounded = std::clamp<duration>(exclusion_time, min_store_exclusion, max_store_exclusion);
    m_exclusions[address] = {.store_excluded_until = now + bounded};
}

void peer_directory::clear_store_unreachable()
{
    for (auto& [address, it] : m_exclusions)
    {
        it.store_excluded_until = {};
    }
}

void peer_directory::start_probe(const std::string& address, time_point now)
{
    const auto it = m_exclusions.find(address);
    if (it != m_exclusions.end() && it->second.failures > 0)
    {
        it->second.unresponsive_until = now + probe_timeout;
    }
}

void peer_directory::failed(const std::string& address, time_point now)
{
    auto& it = m_exclusions[address];
    constexpr std::uint32_t max_exclusion_shift = 4;
    const auto exclusion_time =
        std::min(initial_exclusion * (1 << std::min(it.failures, max_exclusion_shift)), max_exclusion);
    ++it.failures;
    it.unresponsive_until = now + exclusion_time;
}

} // namespace masticcourse::gateway
