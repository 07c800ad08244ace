/// @file
/// Simulation, in virtual time, of the gateways of one site that share workspace quotas. Messages are delayed
/// and lost; gateways freeze, are partitioned and restart.
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

/// @return whether no window of the rule contains more requests than the rule allows
/// @param sent in chronological order
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
        /// Timers that are due before this time run only then.
        gateway::time_point frozen_until{};
        /// Total time it has been frozen; its monotonic clock stops while it is frozen.
        gateway::duration frozen_total{};
        memory_store store;
        gateway::peer_directory peers;
        gateway::bucket_ownership buckets;
        metrics_registry metrics;
        gateway::workspace_quotas quotas;
        double cores = 1;
        /// Messages to and from this gateway are lost.
        bool partitioned = false;
        bool stopped = false;
    };

    /// @param quotas by workspace name
    quota_group(std::size_t count, const std::map<std::string, gateway::request_quota>& quotas,
                gateway::program_admission policy = gateway::program_admission::prepaid,
                gateway::milliseconds settle_time = gateway::seconds{20});

    /// Starts a gateway process on a VM and stops the process that ran there before, if any.
    void start(const std::string& address, double cores = 1);
    /// Stops the gateway process on a VM, if any.
    void stop(const std::string& address);
    void freeze(const std::string& address, gateway::milliseconds span);
    void set_quotas(const std::map<std::string, gateway::request_quota>& quotas);

    /// Simulates a request that arrives at a gateway. It is sent @a preparation after it got a permit, if the
    /// permit is still valid then.
    void request(const std::string& address, const std::string& workspace,
                 gateway::admission_kind kind = gateway::admission_kind::other,
                 gateway::milliseconds preparation = {});

    /// @return the addresses of all running gateways
    [[nodiscard]] std::vector<std::string> addresses() const;
    [[nodiscard]] member& at(const std::string& address)
    {
        return *m_members.at(address);
    }

    virtual_time time;
    row_table rows;
    gateway::quota_rule rule{.window = gateway::seconds{5}, .overage = 0.1, .slack = 20};
    /// One-way delay of a message between gateways.
    gateway::milliseconds one_way_delay{1};
    /// Drops every n-th message; 0 drops none.
    std::size_t drop_every = 0;
    std::size_t messages = 0;
    /// When requests were sent, by workspace.
    std::map<std::string, std::vector<gateway::time_point>> sent;
    std::map<std::string, std::vector<gateway::quota_refusal>> refused;

  private:
    void call(member& sender, const std::string& to, const std::string& bytes,
              const gateway::peer_callback& on_reply);
    [[nodiscard]] bool drops_message();
    /// Members are never moved, nor destroyed before the group.
    [[nodiscard]] gateway::delay_function delays_for(const member& it);
    void update_peers();

    gateway::program_admission m_policy;
    gateway::config_ptr m_config;
    std::map<std::string, std::unique_ptr<member>> m_members;
    /// Stopped members stay allocated because timers still refer to them.
    std::vector<std::unique_ptr<member>> m_stopped;
    std::size_t m_incarnations = 0;
    config_version m_version = 0;
};

} // namespace masticcourse::testing
