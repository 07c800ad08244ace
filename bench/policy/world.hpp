/// @file
/// One run: callers, homes and targets on a virtual clock, with the real decisions between them.
#pragma once

#include "faults.hpp"
#include "masticcourse/policy/hedge.hpp"
#include "measures.hpp"
#include "sim_home.hpp"
#include "sim_target.hpp"
#include "system_options.hpp"
#include "timeline.hpp"
#include "workload.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticcourse::bench
{

struct run_options
{
    std::size_t targets = 10;
    std::size_t homes = 3;
    std::size_t domains = 3;
    std::uint64_t seed = 1;
    core_duration arrivals = std::chrono::seconds{600};
    /// Programs still under way so long after the last arrival count as unfinished.
    core_duration drain = std::chrono::seconds{900};
    fault_plan fault;
};

class world
{
  public:
    world(const system_options& system, const std::vector<program_plan>& plans, const run_options& options);

    /// Runs to the end.
    run_record run();

  private:
    /// A program under way.
    struct program_state
    {
        const program_plan* plan = nullptr;
        std::size_t home = 0;
        std::optional<std::size_t> parent;
        std::size_t next_turn = 0;
        std::vector<std::string> history;
        token_count history_tokens = 0;
        token_count attained = 0;
        std::optional<std::size_t> last;
        core_time began{};
        core_time asked{};
        core_time paused_since{};
        service_name paused_by;
        bool pausing = false;
        bool ended = false;
        std::size_t children_left = 0;
        bool pause_over = false;
        unsigned attempts = 0;
    };

    struct target_state
    {
        sim_target target;
        bool alive = true;
        bool leaving = false;
        bool failing = false;
        bool scheduled = false;
        /// Calls sent to a machine that is already lost.
        std::vector<call_ref> sent_in_vain;
    };

    // Callers
    void begin(std::size_t program);
    void ask(std::size_t program);
    void pause(std::size_t program);
    void fork(std::size_t program);
    void resume_if_ready(std::size_t program);
    void end(std::size_t program, bool finished);
    void come_back(std::size_t program, core_duration wait);
    [[nodiscard]] core_duration tool_time(program_state& p, const pause_plan& plan);

    // Homes
    [[nodiscard]] home_query query_for(const program_state& p) const;
    void dispatch(std::size_t program);
    void send(std::size_t program, const home_query& query, const placement_choice& choice);
    void on_finished(std::size_t target, const completed_call& done);
    void on_failed(std::size_t target, const call_ref& call);
    void retain(std::size_t target);

    // Targets
    void arrive(std::size_t target, std::size_t program, submitted_call call);
    void wake(std::size_t target);
    void run_target(std::size_t target);
    void send_reports(std::size_t target);
    void send_cache_events(std::size_t target);

    // Faults
    void plan_fault();
    void begin_fault();
    void end_fault();
    [[nodiscard]] std::vector<std::size_t> struck() const;
    void kill(std::size_t target);
    void set_connected(std::size_t target, bool connected);
    [[nodiscard]] failure_domain_name domain_of(std::size_t target) const;
    [[nodiscard]] bool chance(double part);

    const system_options& m_system;
    run_options m_options;
    timeline m_time;
    std::mt19937_64 m_random;
    std::vector<program_state> m_programs;
    std::unordered_map<program_id, std::size_t> m_by_id;
    std::vector<target_state> m_targets;
    std::vector<sim_home> m_homes;
    std::vector<hedge_policy> m_hedges;
    waste_counter m_waste;
    run_record m_record;
    bool m_silent = false;
};

} // namespace masticcourse::bench
