/// @file
/// Access to the ends of turns that any gateway has served.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/gateway/spending_row.hpp"

#include <cstdint>
#include <functional>

namespace masticcourse::gateway
{

enum class turn_progress : std::uint8_t
{
    /// The turn has a durable end.
    finished,
    /// The turn had no durable end when it was looked up; it is running or has been broken off.
    unfinished,
    /// The store could not be queried.
    unknown,
};

struct turn_end
{
    turn_progress progress = turn_progress::unknown;
    /// For a finished turn: the tokens that it generated.
    token_count tokens = 0;
};

using turn_end_callback = std::function<void(const turn_end&)>;

class finished_turns
{
  public:
    finished_turns() = default;
    finished_turns(const finished_turns&) = delete;
    finished_turns(finished_turns&&) = delete;
    finished_turns& operator=(const finished_turns&) = delete;
    finished_turns& operator=(finished_turns&&) = delete;
    virtual ~finished_turns() = default;

    /// Looks up how the turn ended. Calls back once, synchronously if the turn is cached.
    virtual void find_end(const request_id& turn, turn_end_callback on_end) = 0;
};

} // namespace masticcourse::gateway
