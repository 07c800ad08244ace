/// @file
/// Simulation, in virtual time, of gateways that share the buckets of one table. Several incarnations may run
/// under one address; they freeze, are suspended and lose the store.
#pragma once

#include "support/memory_rows.hpp"
#include "support/virtual_time.hpp"

#include "masticcourse/gateway/bucket_ownership.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace masticcourse::testing
{

class ownership_group
{
  public:
    struct member
    {
        member(ownership_group& owner, const std::string& address, const std::string& incarnation);

        ownership_group& group;
        /// Actions that became due while the process was frozen.
        std::vector<std::function<void()>> held_back;
        bool frozen = false;
        bool dead = false;
        memory_store store;
        gateway::peer_directory peers;
        gateway::bucket_ownership buckets;
    };

    ownership_group(const gateway::ownership_terms& terms, gateway::random_seed seed);

    /// Starts an incarnation, whatever else runs under the address.
    member& start(const std::string& address);
    static void freeze(member& it);
    /// Runs what became due meanwhile.
    static void resume(member& it);
    /// The process ends without notice.
    static void kill(member& it);

    /// @return the living incarnations that may use the bucket
    [[nodiscard]] std::vector<const member*> users(std::size_t bucket) const;
    /// @return whether at most one living incarnation may use each bucket
    [[nodiscard]] bool exclusive() const;
    /// @return whether exactly this incarnation may use the bucket
    [[nodiscard]] bool only_user(std::size_t bucket, const member& it) const;
    [[nodiscard]] const std::vector<std::unique_ptr<member>>& members() const
    {
        return m_members;
    }

    virtual_time time;
    row_table rows;

  private:
    [[nodiscard]] gateway::delay_function delays_for(member& it);
    void list_peers();

    gateway::ownership_terms m_terms;
    gateway::random_seed m_seed;
    std::vector<std::unique_ptr<member>> m_members;
};

} // namespace masticcourse::testing
