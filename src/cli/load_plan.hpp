/// @file
/// Plan of a load run. All programs are generated from a seed before the run starts (open loop), so the
/// offered load does not depend on how the system responds.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/model/call.hpp"
#include "masticcourse/settings/settings.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace masticcourse::detail
{

struct planned_program;

/// Step of a planned program: after a pause, either a call or the program of a sub-agent.
struct planned_turn
{
    std::chrono::milliseconds pause{};
    service_name service;
    call_kind kind = call_kind::model;
    std::string input;
    bool idempotent = true;
    token_count max_tokens = 0;
    /// Turns of the sub-agent; if not empty, the step makes no call of its own.
    std::vector<planned_turn> sub_agent;
};

struct planned_program
{
    /// Time since the start of the run.
    std::chrono::milliseconds start{};
    /// Index into the settings' workspaces.
    std::size_t workspace = 0;
    token_count budget = 0;
    std::vector<planned_turn> turns;
};

struct load_options
{
    /// Program starts per second.
    double rate = 1;
    std::chrono::seconds duration{10};
    std::uint64_t seed = 1;
    /// Factor applied to all pauses.
    double pause_scale = 1;
};

/// @return the programs in order of their start times; deterministic for given settings and options
[[nodiscard]] std::vector<planned_program> plan_load(const deployment_settings& settings,
                                                     const load_options& options);

} // namespace masticcourse::detail
