/// @file
/// A process of the system world.
#pragma once

#include "system_world.hpp"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace masticcourse::tests
{

/// One process: its core while it lives, and for a target what is beside it.
struct system_world::node
{
    process_name name;
    std::string address;
    std::size_t index = 0;
    bool is_entry = false;
    bool is_model = false;
    std::uint64_t life = 0;
    std::unique_ptr<entry_core> entry;
    std::unique_ptr<target_core> target;
    std::vector<entry_input> entry_inbox;
    std::vector<target_input> target_inbox;
    core_time frozen_until{};
    core_time wakeup{};
    link_id next_inbound = entry_core::first_inbound_link;
    target_record record;
    /// Calls at the backend, which lives on when the target process dies.
    std::map<call_ref, std::uint64_t> running;
    std::uint32_t lose_answers = 0;
    bool hangs = false;
    bool stopped = false;

    [[nodiscard]] bool alive() const
    {
        return entry != nullptr || target != nullptr;
    }
};

/// @return the two names in their order: a cut has no direction
[[nodiscard]] inline std::pair<process_name, process_name> ordered(const process_name& a,
                                                                   const process_name& b)
{
    return a < b ? std::pair{a, b} : std::pair{b, a};
}

} // namespace masticcourse::tests
