#include "masticcourse/gateway/peer_directory.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace masticcourse::gateway
{

namespace
{

/// How long a gateway that did not answer is left out; doubled with each failure in a row. A frozen one is
/// back within seconds; one that is gone for good costs one late commit in twenty.
constexpr milliseconds first_pause{1'500};
constexpr milliseconds longest_pause{20'000};
/// How long one that can't reach the store is left out at least: it looks for the way back about as often.
/// Longer pauses after an outage for all would leave gateways with different collectors.
constexpr milliseconds storeless_pause{300};
/// One that has lacked the store for long is left out for half as long again, up to this: so many askers
/// cost it little, and its partitions are back with it soon enough.
constexpr milliseconds longest_storeless_pause{2'400};
constexpr int storeless_pause_divisor = 2;

/// How long a silent gateway that is asked again may take to answer before others ask it too.
constexpr milliseconds trial_time{1'000};

/// With less processor time a VM collects, or holds what others ask for, only if none has more: it could not
/// keep up with them.
constexpr double least_helper_cores = 0.15;

bool is_strong(const peer& it)
{
    return it.cores >= least_helper_cores;
}

/// Weighted rendezvous hashing: each peer is chosen in proportion to its weight, and only the partitions of a
/// peer that leaves move (Schindelhauer and Schomaker, 2005).
double score(const peer& it, std::string_view partition)
{
    const auto seed = XXH3_64bits(partition.data(), partition.size());
    const auto hash = XXH3_64bits_withSeed(it.address.data(), it.address.size(), seed);
    const double unit = (static_cast<double>(hash) + 1) /
                        (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
    return -it.cores / std::log(unit);
}

} // namespace

void peer_directory::set(std::vector<peer> peers)
{
    std::erase_if(peers, [this](const peer& it) { return it.address == m_self.address; });
    m_others = std::move(peers);
}

std::size_t peer_directory::strong_gateways() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_others, is_strong)) + (is_strong(m_self) ? 1 : 0);
}

std::size_t peer_directory::helpers() const
{
    const auto strong = strong_gateways();
    return strong > 0 ? strong : m_others.size() + 1;
}

bool peer_directory::is_helper() const
{
    return is_strong(m_self) || strong_gateways() == 0;
}

milliseconds peer_directory::period(milliseconds least, milliseconds per_gateway) const
{
    const auto gateways = static_cast<milliseconds::rep>(m_others.size() + 1);
    return std::max(least, gateways * per_gateway);
}

bool peer_directory::silent(const std::string& address, time_point now) const
{
    const auto it = m_avoided.find(address);
    return it != m_avoided.end() && it->second.silent_until > now;
}

bool peer_directory::avoided(const std::string& address, time_point now) const
{
    const auto it = m_avoided.find(address);
    return it != m_avoided.end() && std::max(it->second.silent_until, it->second.storeless_until) > now;
}

std::vector<std::string> peer_directory::choose(std::size_t most, time_point now, std::string_view preferred)
{
    std::vector<std::string> chosen;
    for (const auto& it : m_others)
    {
        if (!avoided(it.address, now))
        {
            chosen.push_back(it.address);
        }
    }
    std::ranges::shuffle(chosen, m_random);
    std::ranges::partition(chosen, [&](const std::string& it) { return it == preferred; });
    chosen.resize(std::min(chosen.size(), most));
    return chosen;
}

std::optional<std::string> peer_directory::collector_of(std::string_view partition, time_point now,
                                                        bool self_lacks_store) const
{
    return best_for(
        partition, [&](const std::string& address) { return avoided(address, now); }, self_lacks_store);
}

std::optional<std::string> peer_directory::last_collector_of(std::string_view partition, time_point now) const
{
    return best_for(
        partition, [&](const std::string& address) { return silent(address, now); }, false);
}

template <typename Avoided>
std::optional<std::string> peer_directory::best_for(std::string_view partition, Avoided is_avoided,
                                                    bool self_avoided) const
{
    const auto rank = [partition](const peer& it, bool is_last) {
        return std::tuple{!is_last, is_strong(it), score(it, partition)};
    };
    const peer* best = &m_self;
    auto best_rank = rank(m_self, self_avoided);
    for (const auto& it : m_others)
    {
        const auto its_rank = rank(it, false);
        if (its_rank > best_rank && !is_avoided(it.address))
        {
            best = &it;
            best_rank = its_rank;
        }
    }
    return best != &m_self ? std::optional{best->address} : std::nullopt;
}

void peer_directory::answered(const std::string& address)
{
    m_avoided.erase(address);
}

void peer_directory::lacks_store(const std::string& address, time_point now, duration lacked_for)
{
    const duration pause = lacked_for / storeless_pause_divisor;
    const auto bounded = std::clamp<duration>(pause, storeless_pause, longest_storeless_pause);
    m_avoided[address] = {.storeless_until = now + bounded};
}

void peer_directory::forget_storeless()
{
    for (auto& [address, it] : m_avoided)
    {
        it.storeless_until = {};
    }
}

void peer_directory::on_trial(const std::string& address, time_point now)
{
    const auto it = m_avoided.find(address);
    if (it != m_avoided.end() && it->second.failures > 0)
    {
        it->second.silent_until = now + trial_time;
    }
}

void peer_directory::failed(const std::string& address, time_point now)
{
    auto& it = m_avoided[address];
    constexpr std::uint32_t longest_shift = 4;
    const auto pause = std::min(first_pause * (1 << std::min(it.failures, longest_shift)), longest_pause);
    ++it.failures;
    it.silent_until = now + pause;
}

} // namespace masticcourse::gateway
