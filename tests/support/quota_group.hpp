/// @file
/// Gateways of one site that share workspaces' quotas, in virtual time: messages take a while and are lost,
/// gateways freeze, are cut off and start again.
#pragma once

#include "support/memory_rows.hpp"
#include "support/virtual_time.hpp"

#include "masticcourse/gateway/quota/workspace_quotas.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::testing
{

/// @return whether over any span of the rule's window no more was sent than the rule allows
/// @param sent in order of time
[[nodiscard]] bool complies_with_rule(const std::vector<gateway::time_point>& sent,
                                      const gateway::request_quota& quota, const gateway::quota_rule& rule);

class quota_group
{
  public:
    struct member
    {
        member(quota_group& owner, const std::string& member_address, const std::string& incarnation,
               double cores);

        quota_group& group;
        std::string address;
        /// Set while it is frozen: nothing that is due happens before.
        gateway::time_point frozen_until{};
        /// How long it has been frozen so far: its steady clock stands still meanwhile.
        gateway::duration frozen_total{};
        memory_store store;
        gateway::peer_directory peers;
        gateway::bucket_ownership buckets;
        metrics_registry metrics;
        gateway::workspace_quotas quotas;
        double cores = 1;
        /// No message of it arrives, and none comes to it.
        bool partitioned = false;
        bool stopped = false;
    };

    /// @param quotas by workspace; an empty one has no limit
    quota_group(std::size_t count, const std::map<std::string, gateway::request_quota>& quotas,
                gateway::program_admission policy = gateway::program_admission::prepaid,
                gateway::milliseconds settle_time = gateway::seconds{20});

    /// Starts a life on a VM; one that ran there is dead from then on.
    void start(const std::string& address, double cores = 1);
    /// Ends the life on a VM, if there is one.
    void stop(const std::string& address);
    void freeze(const std::string& address, gateway::milliseconds span);
    void set_quotas(const std::map<std::string, gateway::request_quota>& quotas);

    /// A request comes to a gateway; it is sent as soon as a permit is there, if that is still valid after
    /// @a work.
    void request(const std::string& address, const std::string& workspace,
                 gateway::admission_kind kind = gateway::admission_kind::other,
                 gateway::milliseconds preparation = {});

    /// @return the gateways, dead ones left out
    [[nodiscard]] std::vector<std::string> addresses() const;
    [[nodiscard]] member& at(const std::string& address)
    {
        return *m_members.at(address);
    }

    virtual_time time;
    row_table rows;
    gateway::quota_rule rule{.window = gateway::seconds{5}, .overage = 0.1, .slack = 20};
    /// Of a message between gateways, one way.
    gateway::milliseconds one_way_delay{1};
    /// Every so manyth message is lost; 0 loses none.
    std::size_t drop_every = 0;
    std::size_t messages = 0;
    /// When requests of a workspace were sent.
    std::map<std::string, std::vector<gateway::time_point>> sent;
    std::map<std::string, std::vector<gateway::quota_refusal>> refused;

  private:
    void call(const std::string& from, const std::string& to, const std::string& bytes,
              const gateway::peer_callback& on_answer);
    [[nodiscard]] bool drops_message();
    /// Members are never moved or destroyed before the group is.
    [[nodiscard]] gateway::delay_function delays_for(const member& it);
    void update_peers();

    gateway::program_admission m_policy;
    gateway::config_ptr m_config;
    std::map<std::string, std::unique_ptr<member>> m_members;
    /// Their timers are still planned: they stay, unreachable.
    std::vector<std::unique_ptr<member>> m_stopped;
    std::size_t m_incarnations = 0;
    config_version m_version = 0;
};

} // namespace masticcourse::testing
