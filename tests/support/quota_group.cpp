#include "support/quota_group.hpp"
#include "support/test_seed.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::testing
{

namespace
{

using gateway::milliseconds;
using gateway::time_point;

/// Time after which a gateway gives up waiting for a reply.
constexpr milliseconds message_timeout{100};

} // namespace

bool complies_with_rule(const std::vector<time_point>& sent, const gateway::request_quota& quota,
                        const gateway::quota_rule& rule)
{
    const auto window = std::chrono::duration<double>{rule.window}.count();
    const auto most = (quota.rate * window + quota.burst) * (1 + rule.overage) + rule.slack;
    auto first = sent.begin();
    for (auto last = sent.begin(); last != sent.end(); ++last)
    {
        while (*last - *first > rule.window)
        {
            ++first;
        }
        if (static_cast<double>(std::distance(first, last) + 1) > most)
        {
            return false;
        }
    }
    return true;
}

quota_group::member::member(quota_group& owner, const std::string& member_address,
                            const std::string& incarnation, double member_cores)
    : group(owner), address(member_address), store(owner.rows, owner.delays_for(*this)),
      peers({.address = member_address, .cores = member_cores}, derive_seed(test_seed(), incarnation)),
      buckets(
          gateway::quota_ownership_terms(), store, peers, {member_address, incarnation},
          owner.delays_for(*this), [this] { return group.time.now() - frozen_total; }, owner.time.clock(),
          derive_seed(test_seed(), incarnation)),
      quotas(
          {.rule = owner.rule, .policy = owner.m_policy}, buckets, peers,
          [this](const auto& to, auto bytes, auto on_reply) { group.call(*this, to, bytes, on_reply); },
          owner.delays_for(*this), [this] { return group.time.now() - frozen_total; }, owner.time.clock(),
          metrics),
      cores(member_cores)
{
}

quota_group::quota_group(std::size_t count, const std::map<std::string, gateway::request_quota>& quotas,
                         gateway::program_admission policy, milliseconds settle_time)
    : m_policy(policy)
{
    set_quotas(quotas);
    for (std::size_t n = 0; n < count; ++n)
    {
        start("g" + std::to_string(n));
    }
    time.run(settle_time);
}

gateway::delay_function quota_group::delays_for(const member& it)
{
    return [this, &it](milliseconds after, const std::function<void()>& action)
    {
        const auto run = [this, &it, action](const auto& self) -> void
        {
            const auto until = it.frozen_until;
            if (until > time.now())
            {
                const auto rest = std::chrono::ceil<milliseconds>(until - time.now());
                time.delays()(rest, [self] { self(self); });
                return;
            }
            action();
        };
        time.delays()(after, [run] { run(run); });
    };
}

void quota_group::start(const std::string& address, double cores)
{
    stop(address);
    auto& it = m_members[address] =
        std::make_unique<member>(*this, address, std::to_string(++m_incarnations), cores);
    update_peers();
    it->quotas.set_config(m_config);
}

void quota_group::stop(const std::string& address)
{
    if (const auto it = m_members.find(address); it != m_members.end())
    {
        it->second->stopped = true;
        it->second->store.mode = store_mode::refusing;
        m_stopped.push_back(std::move(it->second));
        m_members.erase(it);
        update_peers();
    }
}

void quota_group::freeze(const std::string& address, milliseconds span)
{
    auto& it = at(address);
    it.frozen_until = time.now() + span;
    it.frozen_total += span;
}

void quota_group::set_quotas(const std::map<std::string, gateway::request_quota>& quotas)
{
    std::vector<gateway::workspace> workspaces;
    std::ranges::transform(quotas, std::back_inserter(workspaces),
                           [](const auto& it) {
                               return gateway::workspace{
                                   .name = {it.first}, .keys = {"key of " + it.first}, .quota = it.second};
                           });
    gateway::gateway_config config{.version = ++m_version};
    config.workspaces = gateway::workspace_directory{std::move(workspaces)};
    m_config = std::make_shared<const gateway::gateway_config>(std::move(config));
    std::ranges::for_each(m_members, [this](const auto& it) { it.second->quotas.set_config(m_config); });
}

void quota_group::request(const std::string& address, const std::string& workspace,
                          gateway::admission_kind kind, milliseconds preparation)
{
    auto* const it = &at(address);
    if (it->frozen_until > time.now())
    {
        return;
    }
    const auto* const owner = m_config->workspaces.find({workspace});
    it->quotas.acquire(*owner, kind,
                       [this, it, workspace, preparation](const gateway::quota_result& result)
                       {
                           if (const auto* const refusal = std::get_if<gateway::quota_refusal>(&result))
                           {
                               refused[workspace].push_back(*refusal);
                               return;
                           }
                           const auto permit = std::get<gateway::quota_permit>(result);
                           time.delays()(preparation,
                                         [this, it, workspace, permit]
                                         {
                                             if (!it->stopped && it->quotas.valid(permit))
                                             {
                                                 sent[workspace].push_back(time.now());
                                             }
                                         });
                       });
}

std::vector<std::string> quota_group::addresses() const
{
    std::vector<std::string> all;
    std::ranges::transform(m_members, std::back_inserter(all), [](const auto& it) { return it.first; });
    return all;
}

bool quota_group::drops_message()
{
    return drop_every > 0 && messages % drop_every == 0;
}

void quota_group::call(member& sender_member, const std::string& to, const std::string& bytes,
                       const gateway::peer_callback& on_reply)
{
    auto* const sender = &sender_member;
    if (sender->stopped)
    {
        return;
    }
    ++messages;
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [answered, sender, on_reply](const std::optional<std::string>& text)
    {
        if (!std::exchange(*answered, true) && !sender->stopped)
        {
            on_reply(text);
        }
    };
    delays_for (*sender)(message_timeout, [answer] { answer(std::nullopt); });
    if (drops_message() || sender->partitioned)
    {
        return;
    }
    const bool answer_lost = drop_every > 0 && messages % drop_every == 1;
    time.delays()(one_way_delay,
                  [this, to, bytes, sender, answer, answer_lost]
                  {
                      const auto it = m_members.find(to);
                      if (it == m_members.end() || it->second->partitioned)
                      {
                          return;
                      }
                      // A frozen gateway reads the message when it resumes.
                      auto* const holder = it->second.get();
                      delays_for (*holder)(
                          milliseconds{0},
                          [this, holder, bytes, sender, answer, answer_lost]
                          {
                              const auto text =
                                  holder->stopped ? std::nullopt : holder->quotas.handle_peer_request(bytes);
                              if (text && !answer_lost)
                              {
                                  delays_for (*sender)(one_way_delay, [answer, text] { answer(text); });
                              }
                          });
                  });
}

void quota_group::update_peers()
{
    std::vector<gateway::peer> list;
    std::ranges::transform(m_members, std::back_inserter(list),
                           [](const auto& it)
                           { return gateway::peer{.address = it.first, .cores = it.second->cores}; });
    std::ranges::for_each(m_members, [&](const auto& it) { it.second->peers.set(list); });
}

} // namespace masticcourse::testing
