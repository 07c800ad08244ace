/// @file
/// How old the followed tables may be for decisions on requests, and when a gateway stops waiting for news
/// and reads the store itself.
///
/// Load pattern: any number of the gateways that this one follows are cut off, frozen, gone, slow or behind.
/// Waiting for each of them in turn would make the age of a table the sum of their timeouts. Instead, the
/// age alone decides when the store is read:
///
/// | until | age of the table |
/// | --- | --- |
/// | the roots have heard from the store again | feed_timeout |
/// | their followers have, at each depth of the tree | a few milliseconds more |
/// | the store is read, whatever other calls are under way | late_after() |
/// | the reply is there, or the store counts as away | read_patience more, in attended time |
/// | nothing is decided by the table unless the store is away | max_table_age |
///
/// A gateway that is deeper in the tree waits longer, so that one that hears from the store spares those
/// below it the call.
#pragma once

#include "masticcourse/gateway/time.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace masticcourse::gateway
{

/// The greatest age of the tables by which requests are decided while the store can be reached. Deployments
/// want a change to be in force, and a target that leaves to be left alone, within two seconds at least; the
/// rest is for the connection to the target and for the network.
constexpr milliseconds max_table_age{1'600};

/// How long a call to the store waits for changes. A longer wait lets an unresponsive connection hide changes
/// for longer, a shorter one costs more calls.
constexpr milliseconds feed_timeout{1'000};

/// How long a read of the store may take until the store counts as away, in attended time; see
/// attended_time.hpp. A process that is short of processor time decides nothing by an old table meanwhile.
constexpr milliseconds read_patience{300};

/// @param depth        number of gateways between this one and the store
/// @param min_interval pause after changes, in which no changes are asked for
/// @return the age of a table at which this gateway reads the store
[[nodiscard]] constexpr milliseconds late_after(std::size_t depth, milliseconds min_interval)
{
    // Above the time that a root and the network need with a VM that is short of processor time.
    constexpr milliseconds margin{100};
    // A root's reply reaches a follower in a millisecond, but the root may have to repeat its read.
    constexpr milliseconds margin_per_gateway{50};
    constexpr std::size_t max_depth = 4;
    const auto gateways = static_cast<milliseconds::rep>(std::min(depth, max_depth));
    return feed_timeout + margin + margin_per_gateway * gateways + min_interval;
}

/// Whether requests may be decided by a table.
enum class table_currency : std::uint8_t
{
    /// Its age is at most max_table_age.
    current,
    /// It is older, and the store did not answer when it was read. Requests are still served by what is
    /// known, but a table that may be out of date is no reason for a final refusal.
    store_away,
    /// It is older, and nothing says that the store is away: nothing is decided by it.
    out_of_date,
};

[[nodiscard]] constexpr std::string_view to_string(table_currency it)
{
    switch (it)
    {
    case table_currency::current:
        return "current";
    case table_currency::store_away:
        return "store_away";
    case table_currency::out_of_date:
        break;
    }
    return "out_of_date";
}

/// Why the store counts as away for a table.
enum class outage_evidence : std::uint8_t
{
    /// It doesn't.
    none,
    /// A read of the store has not been answered.
    unanswered,
    /// A read of the store has failed.
    failed,
};

[[nodiscard]] constexpr std::string_view to_string(outage_evidence it)
{
    switch (it)
    {
    case outage_evidence::unanswered:
        return "unanswered";
    case outage_evidence::failed:
        return "failed";
    case outage_evidence::none:
        break;
    }
    return "none";
}

} // namespace masticcourse::gateway
