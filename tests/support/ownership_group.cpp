#include "support/ownership_group.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace masticcourse::testing
{

ownership_group::member::member(ownership_group& owner, const std::string& address,
                                const std::string& incarnation)
    : group(owner), store(owner.rows, owner.delays_for(*this)),
      peers({.address = address}, derive_seed(owner.m_seed, incarnation)),
      buckets(owner.m_terms, store, peers, {address, incarnation}, owner.delays_for(*this),
              owner.time.clock(), owner.time.clock(), derive_seed(owner.m_seed, incarnation))
{
}

ownership_group::ownership_group(const gateway::ownership_terms& terms, gateway::random_seed seed)
    : m_terms(terms), m_seed(seed)
{
}

ownership_group::member& ownership_group::start(const std::string& address)
{
    const auto incarnation = std::to_string(m_members.size() + 1);
    auto& started = *m_members.emplace_back(std::make_unique<member>(*this, address, incarnation));
    list_peers();
    started.buckets.start();
    return started;
}

void ownership_group::freeze(member& it)
{
    it.frozen = true;
}

void ownership_group::resume(member& it)
{
    it.frozen = false;
    std::ranges::for_each(std::exchange(it.held_back, {}), [](const auto& action) { action(); });
}

void ownership_group::kill(member& it)
{
    it.dead = true;
    it.store.mode = store_mode::refusing;
}

std::vector<const ownership_group::member*> ownership_group::users(std::size_t bucket) const
{
    std::vector<const member*> found;
    for (const auto& it : m_members)
    {
        if (!it->dead && it->buckets.may_use(bucket))
        {
            found.push_back(it.get());
        }
    }
    return found;
}

bool ownership_group::exclusive() const
{
    for (std::size_t bucket = 0; bucket < m_terms.buckets; ++bucket)
    {
        if (users(bucket).size() > 1)
        {
            return false;
        }
    }
    return true;
}

bool ownership_group::only_user(std::size_t bucket, const member& it) const
{
    return users(bucket) == std::vector<const member*>{&it};
}

gateway::delay_function ownership_group::delays_for(member& it)
{
    return [this, &it](gateway::milliseconds after, const std::function<void()>& action)
    {
        time.delays()(after,
                      [&it, action]
                      {
                          if (it.frozen)
                          {
                              it.held_back.push_back(action);
                          }
                          else if (!it.dead)
                          {
                              action();
                          }
                      });
    };
}

void ownership_group::list_peers()
{
    std::set<std::string> addresses;
    std::ranges::for_each(m_members, [&](const auto& it) { addresses.insert(it->buckets.self().address); });
    std::vector<gateway::peer> list;
    std::ranges::transform(addresses, std::back_inserter(list),
                           [](const auto& it) { return gateway::peer{.address = it}; });
    std::ranges::for_each(m_members, [&](const auto& it) { it->peers.set(list); });
}

} // namespace masticcourse::testing
