/// @file
/// A randomised run of several homes over one faulty store, in virtual time.
#pragma once

#include "config_world.hpp"
#include "faulty_store.hpp"
#include "home_process.hpp"
#include "state_oracle.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticcourse::tests
{

/// How much of each fault a run has: chances in a thousand steps.
struct world_options
{
    std::size_t homes = 4;
    shard_index shards = 3;
    unsigned crash = 3;
    unsigned freeze = 5;
    unsigned outage = 1;
    /// Of each operation.
    unsigned bad_fate = 120;
    /// Chance that a living owner is taken for dead.
    unsigned wrong_suspicion = 60;
};

struct world_counts
{
    std::uint64_t crashes = 0;
    std::uint64_t freezes = 0;
    std::uint64_t outages = 0;
    /// Homes that found out that another had taken over.
    std::uint64_t sealed_homes = 0;
    std::uint64_t releases = 0;
    std::uint64_t checkpoints = 0;
    std::uint64_t cleaned_entries = 0;
};

class state_world
{
  public:
    state_world(std::uint64_t seed, world_options options);

    /// One random event, and the time until the next one.
    void step();

    /// Ends all faults, lets everything come to rest, and has a fresh home read all that is left.
    void settle();

    [[nodiscard]] const state_oracle& oracle() const;
    [[nodiscard]] const world_counts& counts() const;
    [[nodiscard]] standins::faulty_store& store();
    [[nodiscard]] core_duration elapsed() const;
    [[nodiscard]] std::uint64_t accepted_patches() const;

  private:
    using home_ptr = std::shared_ptr<home_process>;

    struct sent_call
    {
        std::weak_ptr<home_process> home;
        target_call call;
    };

    std::uint64_t random(std::uint64_t below);
    bool chance(unsigned of_thousand);
    home_ptr new_home();
    home_ptr& any_home();
    shard_index any_shard();
    void act(home_process& home);
    void disturb();
    void deliver_one();
    void run_call(const sent_call& sent);
    bool ask_target(const target_call& call);
    bool may_take(const shard_row& row);
    void replace_sealed();
    void tick_all();
    void watch_row(const store_op& op, const store_reply& reply);

    std::mt19937_64 m_random;
    world_options m_options;
    core_time m_now{};
    standins::faulty_store m_store;
    state_oracle m_oracle;
    std::vector<home_ptr> m_homes;
    std::vector<sent_call> m_calls;
    std::set<std::pair<program_id, call_key>> m_refused;
    std::map<shard_index, epoch_number> m_newest_epoch;
    std::map<shard_index, shard_row> m_rows;
    std::uint64_t m_lives = 0;
    std::uint64_t m_programs = 0;
    std::uint64_t m_keys = 0;
    /// The number of the key that each program's caller used last.
    std::map<program_id, std::uint64_t> m_last_key;
    bool m_outage = false;
    bool m_settling = false;
    world_counts m_counts;
    config_world m_config;
};

} // namespace masticcourse::tests
