#include "http_session_limits.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>

namespace masticcourse::detail
{

namespace
{

using steady_time = std::chrono::steady_clock::time_point;

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

} // namespace

bool close_idle_sessions(http_server_state& state)
{
    return end_longest(
        state, [](const http_session& it) { return it.idle_since(); },
        [](http_session& it) { it.close_if_idle(); });
}

bool refuse_unfinished_headers(http_server_state& state)
{
    return end_longest(
        state, [](const http_session& it) { return it.header_since(); },
        [](http_session& it) { it.refuse_unfinished_header(); });
}

} // namespace masticcourse::detail
