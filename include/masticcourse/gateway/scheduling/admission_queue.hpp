/// @file
/// The waiting requests of one service in one gateway, in the order in which they are to be sent.
///
/// Load pattern: workspaces and programs compete for too little capacity. In order of arrival, a workspace
/// that sends far more than its share would delay all others, and capacity would be spent on programs that
/// end too late.
#pragma once

#include "masticcourse/gateway/scheduling/admission_types.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

/// A request rises by one priority each time it has waited this long, so that it competes with the most
/// urgent ones after at most @ref lowest_priority times this span.
inline constexpr milliseconds priority_advantage{500};
/// Priorities below this one count as this one.
inline constexpr std::uint32_t lowest_priority = 3;
/// Each time this many requests have been taken from the queue, the next one is the one that has waited
/// longest. A request that finds n others waiting is thus taken after at most (n + 1) times this many. The
/// share of room that is exempt from the order is the inverse; it must stay below the 5% by which a flood may
/// reduce the service of others.
inline constexpr std::uint32_t oldest_request_interval = 32;

/// Workspaces whose service differs by less than this are equal in order, so that programs under way of one
/// go before new ones of another.
inline constexpr std::chrono::duration<double, std::milli> fair_quantum{2'000};

/// A request in the queue.
struct waiting_request
{
    admission_ticket ticket = 0;
    admission_request request;
    time_point arrived{};
    /// A request that has not started by then is refused.
    time_point start_by{};
};

/// Order: priority, then the workspace that has received the least service, then programs under way, then the
/// least slack. Programs that can't end in time come after all others.
class admission_queue
{
  public:
    /// Adds a request. Its `arrived` must not be earlier than that of the previous one.
    void push(waiting_request entry);

    /// @return the request that pop() would return, valid until the queue changes; null if there is none
    [[nodiscard]] const waiting_request* peek(time_point now) const;

    /// Removes and returns the request that is to be sent next, and charges its workspace for it. Requests
    /// that are too late to start are not returned.
    std::optional<waiting_request> pop(time_point now);

    /// Removes and returns the last request in order, of the workspace that has most waiting.
    std::optional<waiting_request> drop_last(time_point now);

    /// Removes and returns the requests that are too late to start.
    std::vector<waiting_request> expire(time_point now);

    /// @return whether the request was waiting
    bool remove(admission_ticket ticket);

    /// Charges a workspace for a request that was sent without waiting.
    void charge(const admission_request& request);

    /// @return the number of waiting requests that are likely to be sent before a new one
    [[nodiscard]] std::size_t ahead_of(const admission_request& request, time_point now) const;

    /// @return the number of waiting requests that can still start in time
    [[nodiscard]] std::size_t startable(time_point now) const;

    /// @return the number of waiting requests, with those that are too late to start
    [[nodiscard]] std::size_t size() const
    {
        return m_waiting.size();
    }

  private:
    /// Position of a request in the order; less is earlier.
    struct position
    {
        std::uint32_t level = 0;
        /// Service received beyond the least served workspace, in steps of @ref fair_quantum.
        double lead_steps = 0;
        bool new_program = false;
        double served = 0;
        time_point latest_start{};
        admission_ticket ticket = 0;

        friend auto operator<=>(const position&, const position&) = default;
    };
    using iterator = std::vector<waiting_request>::const_iterator;

    [[nodiscard]] position position_of(const waiting_request& entry, time_point now) const;
    /// @return whether the next request is the one that has waited longest
    [[nodiscard]] bool takes_oldest() const;
    [[nodiscard]] iterator next(time_point now) const;
    [[nodiscard]] iterator first_in_order(time_point now) const;
    [[nodiscard]] iterator oldest(time_point now) const;
    [[nodiscard]] double served(const workspace_id& workspace) const;
    [[nodiscard]] std::unordered_map<workspace_id, std::size_t> waiting_by_workspace() const;
    /// Raises the floor to the least service of the workspaces that compete with the next request.
    void raise_served_floor(const admission_request& next, time_point now);
    void add_service(const admission_request& request);
    waiting_request extract(iterator it);

    /// In order of arrival.
    std::vector<waiting_request> m_waiting;
    /// Service received by each workspace in milliseconds of expected duration, counted from a common start.
    /// Workspaces without an entry, and idle ones below the floor, count as at the floor.
    std::unordered_map<workspace_id, double> m_served;
    /// Least service of the workspaces that competed last. An idle workspace is raised to it, so that being
    /// idle earns no credit.
    double m_served_floor = 0;
    /// Requests taken in order since the last one that was taken for having waited longest.
    std::uint32_t m_since_oldest = 0;
};

} // namespace masticcourse::gateway
