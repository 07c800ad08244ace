/// @file
/// Cache events of the HTTP model engine: changes of the cache listing, published with a delay and with gaps.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/messages/peer_message.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace masticcourse::standins
{

/// Change of a program's cached token count; 0 means that the program was evicted.
struct cache_event
{
    std::uint64_t number = 0;
    program_id program;
    token_count tokens = 0;
    core_time at;
};

class cache_events
{
  public:
    /// @param delay         time from a change to the publication of its event
    /// @param loss_interval every n-th event is lost; 0 loses none
    cache_events(core_duration delay, std::uint32_t loss_interval);

    /// Records events for the differences between @a listing and the previous one.
    void observe(const std::vector<cached_program>& listing, core_time now);

    /// @return the events numbered above @a after whose publication delay has elapsed
    [[nodiscard]] std::vector<cache_event> visible_events(std::uint64_t after, core_time now) const;

  private:
    void append_event(const program_id& program, token_count tokens, core_time now);

    core_duration m_delay;
    std::uint32_t m_loss_interval;
    std::uint64_t m_last_number = 0;
    std::map<program_id, token_count> m_last_listing;
    std::deque<cache_event> m_events;
};

} // namespace masticcourse::standins
