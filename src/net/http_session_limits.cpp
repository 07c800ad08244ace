#include "http_session_limits.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>

namespace masticcourse::detail
{

namespace
{

/// Connections that are refused, or have been told to close, may exceed the limit by this part of it, as a
/// divisor.
constexpr std::size_t refused_divisor = 32;
/// How long a request may take to arrive before it gives way to a further connection. Callers that behave
/// give up when it has not been read after a second.
constexpr std::chrono::milliseconds min_unfinished_age{1'000};
/// How long the search for connections that could give way is not repeated after it found none.
constexpr std::chrono::milliseconds no_room_interval{10};

using steady_time = std::chrono::steady_clock::time_point;

std::size_t open_sessions(http_server_state& state)
{
    const std::scoped_lock lock(state.mutex);
    return state.sessions.size();
}

/// Finds the sessions for which @a since tells the earliest times, and calls @a action for a part of them.
template <typename Since, typename Action>
bool end_longest(http_server_state& state, Since since, Action action)
{
    constexpr std::size_t ended_divisor = 64;
    using waiting_session = std::pair<steady_time, std::shared_ptr<http_session>>;
    std::vector<waiting_session> waiting;
    for_each_session(state,
                     [&](http_session& it)
                     {
                         if (const std::optional<steady_time> begun = since(it))
                         {
                             waiting.emplace_back(*begun, it.shared_from_this());
                         }
                     });
    const auto count = std::min(waiting.size(), waiting.size() / ended_divisor + 1);
    const auto last = waiting.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(waiting, last, {}, &waiting_session::first);
    std::for_each(waiting.begin(), last, [&action](const waiting_session& it) { action(*it.second); });
    return count > 0;
}

/// @return whether any connection gives way
bool make_room(http_server_state& state)
{
    const auto now = std::chrono::steady_clock::now();
    if (now - state.no_room_since < no_room_interval)
    {
        return false;
    }
    const bool has_room = close_idle_sessions(state) || refuse_unfinished_requests(state, min_unfinished_age);
    if (!has_room)
    {
        state.no_room_since = now;
    }
    return has_room;
}

} // namespace

bool close_idle_sessions(http_server_state& state)
{
    return end_longest(
        state, [](const http_session& it) { return it.idle_since(); },
        [](http_session& it) { it.close_if_idle(); });
}

bool refuse_unfinished_requests(http_server_state& state, std::chrono::milliseconds min_age)
{
    const auto begun_before = std::chrono::steady_clock::now() - min_age;
    return end_longest(
        state,
        [begun_before](const http_session& it)
        {
            const auto since = it.unfinished_since();
            return since && *since <= begun_before ? since : std::nullopt;
        },
        [](http_session& it) { it.refuse_unfinished(); });
}

connection_verdict admit_connection(http_server_state& state, bool has_memory)
{
    const auto limit = state.limits.max_connections;
    const auto spare = limit / refused_divisor + 1;
    const auto open = open_sessions(state);
    if (open < limit && has_memory)
    {
        return connection_verdict::serve;
    }
    const bool has_room = make_room(state);
    if (open >= limit + spare)
    {
        return connection_verdict::close;
    }
    if (has_room)
    {
        return connection_verdict::serve;
    }
    return state.refused_connections < spare ? connection_verdict::refuse : connection_verdict::close;
}

} // namespace masticcourse::detail
