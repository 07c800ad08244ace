/// @file
/// Operators that race with patches, and processes that follow the configuration, over one faulty store.
#pragma once

#include "faulty_store.hpp"
#include "state_oracle.hpp"

#include "masticcourse/state/config_patch.hpp"
#include "masticcourse/state/config_tracker.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace masticcourse::tests
{

class config_world
{
  public:
    config_world(standins::faulty_store& store, core_time& now, state_oracle& oracle, std::uint64_t seed);

    /// A word between processes and, if @a disturbed, perhaps a patch or a restart.
    void step(bool disturbed);

    /// Sends what patches and trackers ask for.
    void tick();

    /// With all faults over: brings every process to the version in force, and checks it.
    void check_converged();

    /// Sees every operation that the store carries out.
    void observe(const store_op& op, const store_reply& reply);

    [[nodiscard]] std::uint64_t accepted() const;

  private:
    struct follower
    {
        std::shared_ptr<config_tracker> tracker;
        config_version served = 0;
    };

    struct running_patch
    {
        std::shared_ptr<config_patch> patch;
        std::string id;
        config_version base = 0;
    };

    template <typename Machine>
    void pump_machine(const std::shared_ptr<Machine>& machine);
    std::uint64_t random(std::uint64_t below);
    std::shared_ptr<config_tracker> new_tracker();
    void begin_patch();
    void gossip();
    void finish_patches();
    void check_follower(follower& it);

    standins::faulty_store* m_store;
    core_time* m_now;
    state_oracle* m_oracle;
    std::mt19937_64 m_random;
    std::vector<follower> m_followers;
    std::vector<running_patch> m_patches;
    /// What the store really accepted.
    std::map<config_version, std::string> m_documents;
    std::map<std::string, config_version> m_accepted;
    /// Patches that their operator was told are not accepted.
    std::set<std::string> m_denied;
    std::uint64_t m_ids = 0;
};

} // namespace masticcourse::tests
