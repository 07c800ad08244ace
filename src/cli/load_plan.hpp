/// @file
/// The programs of a load run, all drawn from a seed before the first one starts: what the system does can't
/// change what it is asked (open loop).
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

/// One call of a planned program, after a pause; or a whole sub-agent in its place.
struct planned_turn
{
    std::chrono::milliseconds pause{};
    service_name service;
    call_kind kind = call_kind::model;
    std::string input;
    bool idempotent = true;
    token_count max_tokens = 0;
    /// The sub-agent's program if it has turns; then there is no call.
    std::vector<planned_turn> sub_agent;
};

struct planned_program
{
    /// From the start of the run.
    std::chrono::milliseconds start{};
    /// Index into the settings' workspaces.
    std::size_t workspace = 0;
    token_count budget = 0;
    std::vector<planned_turn> turns;
};

struct load_options
{
    /// Programs that start in a second.
    double rate = 1;
    std::chrono::seconds duration{10};
    std::uint64_t seed = 1;
    /// Multiplies all pauses.
    double pause_scale = 1;
};

/// @return the programs in order of their starts; the same options and settings always give the same ones
[[nodiscard]] std::vector<planned_program> plan_load(const deployment_settings& settings,
                                                     const load_options& options);

} // namespace masticcourse::detail
