/// @file
/// How a target's response ended: complete, or cut off in one of several ways.
///
/// A body is complete if its length or its last chunk says so. A body with neither is complete if its
/// connection was closed in order. A stream must also end after a complete event, whatever frames it; without
/// length and chunks it needs an event at all, since a target that fails right after the header closes its
/// connection in the same way.
#pragma once

#include "masticcourse/net/http_client.hpp"

#include <cstdint>
#include <string_view>

namespace masticcourse::gateway::detail
{

enum class response_end : std::uint8_t
{
    complete,
    no_connection,
    /// No data in time.
    timeout,
    /// The connection was lost, or the body is shorter than its framing says.
    broken,
    /// The stream ended in the middle of an event.
    inside_event,
    /// The stream, which has neither length nor chunks, ended before its first event.
    before_first_event,
};

/// @return the value of the label in metrics
[[nodiscard]] std::string_view to_string(response_end end);

/// @return a description for logs and problem documents
[[nodiscard]] std::string_view describe(response_end end);

/// What is known of a streamed response when its transfer has ended.
struct stream_ending
{
    body_framing framing = body_framing::none;
    bool inside_event = false;
    /// Whether the attempt received complete events.
    bool has_events = false;
};

[[nodiscard]] response_end classify_response(http_failure failure);
[[nodiscard]] response_end classify_stream(http_failure failure, const stream_ending& ending);

} // namespace masticcourse::gateway::detail
