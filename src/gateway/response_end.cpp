#include "response_end.hpp"

namespace masticcourse::gateway::detail
{

std::string_view to_string(response_end end)
{
    switch (end)
    {
    case response_end::no_connection:
        return "no_connection";
    case response_end::timeout:
        return "timeout";
    case response_end::broken:
        return "broken";
    case response_end::inside_event:
        return "inside_event";
    case response_end::before_first_event:
        return "before_first_event";
    case response_end::complete:
        break;
    }
    return "complete";
}

std::string_view describe(response_end end)
{
    switch (end)
    {
    case response_end::no_connection:
        return to_string(http_failure::connect);
    case response_end::timeout:
        return to_string(http_failure::timeout);
    case response_end::broken:
        return to_string(http_failure::broken);
    case response_end::inside_event:
        return "the stream ended inside an event";
    case response_end::before_first_event:
        return "the connection closed before the first event of the stream";
    case response_end::complete:
        break;
    }
    return to_string(http_failure::none);
}

response_end classify_response(http_failure failure)
{
    switch (failure)
    {
    case http_failure::connect:
        return response_end::no_connection;
    case http_failure::timeout:
        return response_end::timeout;
    case http_failure::broken:
        return response_end::broken;
    case http_failure::none:
        break;
    }
    return response_end::complete;
}

response_end classify_stream(http_failure failure, const stream_ending& ending)
{
    const auto transfer = classify_response(failure);
    if (transfer != response_end::complete)
    {
        return transfer;
    }
    if (ending.inside_event)
    {
        return response_end::inside_event;
    }
    const bool unconfirmed = ending.framing == body_framing::until_close && !ending.has_events;
    return unconfirmed ? response_end::before_first_event : response_end::complete;
}

} // namespace masticcourse::gateway::detail
