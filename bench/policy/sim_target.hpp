/// @file
/// A target and the process beside it: the real queue, admission and retention over the model engine.
#pragma once

#include "engine_model.hpp"
#include "masticcourse/policy/engine_admission.hpp"
#include "masticcourse/policy/rate_meter.hpp"
#include "masticcourse/policy/target_queue.hpp"
#include "system_options.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::bench
{

/// A call on its way to an engine.
struct submitted_call
{
    waiting_call waiting;
    std::vector<std::string> prompt;
    token_count answer = 0;
};

/// A call that has ended at a target.
struct completed_call
{
    call_ref call;
    token_usage usage;
    std::string answer;
};

/// A home's word on a paused program.
struct pause_hint
{
    program_id program;
    core_duration expected_rest{};
};

class sim_target
{
  public:
    explicit sim_target(const system_options& system);

    void submit(submitted_call call, core_time now);

    /// Runs the engine up to @a now.
    std::vector<completed_call> advance(core_time now);

    [[nodiscard]] std::optional<core_time> next_event() const;

    [[nodiscard]] target_load load() const;

    /// What the engine has come to hold less of since the last time, as its cache events tell.
    target_cache cache_events();

    /// Renews the programs' leases with what is known of their pauses, and gives up prefixes if memory is
    /// short.
    void retain(const std::vector<pause_hint>& hints);

    void release(const program_id& program);

    [[nodiscard]] std::string export_prefix(const program_id& program) const;
    void import_prefix(const program_id& program, const std::string& bytes, core_time now);

    /// The machine is lost with all that it held.
    /// @return the calls that were waiting or running
    std::vector<call_ref> die();

    void set_slowdown(double factor);

  private:
    struct running_call
    {
        waiting_call waiting;
        core_time started;
        std::optional<core_time> first_token;
        std::string answer;
    };

    [[nodiscard]] std::map<program_id, token_count> held() const;
    void pump(core_time now);
    void hand_over(const waiting_call& call, core_time now);
    void on_event(const standins::token_event& event);
    void on_event(const standins::finished_event& event, std::vector<completed_call>& completed);

    const system_options& m_system;
    standins::engine_model m_engine;
    target_queue m_queue;
    engine_admission m_admission;
    rate_meter m_meter;
    std::map<call_ref, submitted_call> m_waiting;
    std::map<std::string, running_call> m_running;
    /// When the last prefill ended: the next one can't have begun before.
    core_time m_prefill_free{};
    std::map<program_id, token_count> m_held;
};

} // namespace masticcourse::bench
