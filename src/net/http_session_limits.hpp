/// @file
/// Which connections of an HTTP server make room when there is none for more: those that have been idle
/// longest, and those whose request's header has been unfinished longest.
#pragma once

#include "http_session.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <memory>
#include <mutex>
#include <vector>

namespace masticcourse::detail
{

/// Calls @a action for each connection of the server.
template <typename Action>
void for_each_session(http_server_state& state, Action action)
{
    std::vector<std::shared_ptr<http_session>> sessions;
    {
        const std::scoped_lock lock(state.mutex);
        std::ranges::transform(state.sessions, std::back_inserter(sessions),
                               [](const auto& it) { return it.second.lock(); });
    }
    std::erase(sessions, nullptr);
    std::ranges::for_each(sessions, [&action](const auto& it) { action(*it); });
}

/// Closes the connections that have been idle longest, a part of all at a time, so that the search for them
/// costs little for each further connection.
/// @return whether there was one
bool close_idle_sessions(http_server_state& state);

/// Refuses the requests that have been unfinished longest, a part of all at a time.
/// @param min_age others are left alone
/// @return whether there was one
bool refuse_unfinished_requests(http_server_state& state, std::chrono::milliseconds min_age);

/// What becomes of a connection that has just been accepted.
enum class connection_verdict : std::uint8_t
{
    serve,
    /// It is told that there is no room.
    refuse,
    close,
};

/// Makes room for a connection that has been accepted: by idle connections, else by unfinished requests.
/// @param has_memory whether memory could be reserved for it
[[nodiscard]] connection_verdict admit_connection(http_server_state& state, bool has_memory);

} // namespace masticcourse::detail
