/// @file
/// Calls that are over and done with at this process, remembered by digest so that none of them ever runs
/// again here.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/messages/peer_message.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace masticcourse::detail
{

/// Why a call is settled.
enum class settlement : std::uint8_t
{
    /// It did not run here and never will.
    refused,
    /// It was handed to the target; its result is durable elsewhere, or was given up.
    ended,
};

/// A bounded memory of settled calls. None is forgotten before a minimum time, even if that goes over the
/// limit.
class settled_calls
{
  public:
    settled_calls(std::size_t limit, core_duration minimum);

    /// Remembers a call. What was said first about a call stands.
    void settle(const call_ref& call, settlement how, core_time now);

    [[nodiscard]] std::optional<settlement> find(const call_ref& call) const;

    /// @return whether as many are remembered as may be, none old enough to be forgotten
    [[nodiscard]] bool full(core_time now) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_settled.size();
    }

  private:
    struct record
    {
        core_time at;
        std::uint64_t digest = 0;
    };

    std::size_t m_limit;
    core_duration m_minimum;
    std::unordered_map<std::uint64_t, settlement> m_settled;
    std::deque<record> m_order;
};

} // namespace masticcourse::detail
