#include "caller_desk.hpp"

#include "masticcourse/net/sse.hpp"
#include "masticcourse/settings/token.hpp"

#include <charconv>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

namespace masticcourse
{

namespace
{

constexpr int status_ok = 200;
constexpr int first_failure = 400;
constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view event_stream = "text/event-stream";

std::optional<std::uint64_t> number_in(std::optional<std::string> text)
{
    if (!text)
    {
        return std::nullopt;
    }
    if (text->size() >= 2 && text->front() == '"' && text->back() == '"')
    {
        *text = text->substr(1, text->size() - 2);
    }
    std::uint64_t number = 0;
    const auto* const end = text->data() + text->size();
    const auto read = std::from_chars(text->data(), end, number);
    return read.ec == std::errc{} && read.ptr == end ? std::optional{number} : std::nullopt;
}

forward_request raw_request(const http_request& request, const workspace_id& workspace)
{
    const auto accept = request.header("Accept").value_or("");
    return {.method = request.method,
            .path = request.target,
            .body = request.body,
            .key = request.header("Idempotency-Key").value_or(""),
            .last_event = number_in(request.header("Last-Event-ID")),
            .if_match = number_in(request.header("If-Match")),
            .stream = accept.find(event_stream) != std::string::npos,
            .workspace = workspace};
}

/// Whole seconds, as the header has it; the document says milliseconds.
std::string retry_seconds(std::chrono::milliseconds wait)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count());
}

http_response response_of(const caller_reply& answer)
{
    http_response response{.status = answer.status, .body = answer.body};
    if (answer.status >= first_failure)
    {
        response.content_type = "application/problem+json";
    }
    if (answer.etag)
    {
        response.headers.push_back({"ETag", '"' + std::to_string(*answer.etag) + '"'});
    }
    if (answer.retry_after)
    {
        response.headers.push_back({"Retry-After", retry_seconds(*answer.retry_after)});
    }
    return response;
}

} // namespace

caller_desk::caller_desk(const deployment_settings& settings, input_handler on_input)
    : m_workspaces(settings.workspaces), m_operator_token(settings.operator_token),
      m_on_input(std::move(on_input))
{
}

caller_desk::identity caller_desk::identify(const http_request& request) const
{
    const auto header = request.header("Authorization").value_or("");
    if (!header.starts_with(bearer))
    {
        return {};
    }
    const auto token = std::string_view{header}.substr(bearer.size());
    identity found{.known = tokens_equal(token, m_operator_token), .operators = true};
    // All are compared, so that the time does not tell which one matched.
    for (const auto& it : m_workspaces)
    {
        if (tokens_equal(token, it.token))
        {
            found = {.known = true, .operators = false, .workspace = it.id};
        }
    }
    return found;
}

void caller_desk::take(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    const auto who = identify(request);
    if (!who.known)
    {
        exchange->respond(problem_response({problem_id::unauthorized, ran_state::no, "no valid token"}));
        return;
    }
    request_id id = 0;
    {
        const std::scoped_lock lock{m_mutex};
        id = m_next++;
        m_waiting[id] = {.exchange = exchange};
    }
    exchange->on_closed(
        [this, id]
        {
            static_cast<void>(take_out(id));
            m_on_input(caller_gone{id});
        });
    m_on_input(caller_request{id, raw_request(request, who.workspace)});
}

caller_desk::waiting_caller caller_desk::take_out(request_id id)
{
    const std::scoped_lock lock{m_mutex};
    const auto it = m_waiting.find(id);
    if (it == m_waiting.end())
    {
        return {};
    }
    auto found = std::move(it->second);
    m_waiting.erase(it);
    return found;
}

void caller_desk::reply(const caller_reply& answer)
{
    const auto caller = take_out(answer.id);
    if (!caller.exchange)
    {
        return;
    }
    if (!caller.streaming)
    {
        caller.exchange->respond(response_of(answer));
        return;
    }
    // The head has gone out already: the answer becomes the last event.
    const auto* const name = answer.status == status_ok ? "outcome" : "problem";
    caller.exchange->write(format_sse({.id = "0", .event = name, .data = answer.body}));
    caller.exchange->end_stream();
}

void caller_desk::event(const caller_event& event)
{
    std::shared_ptr<http_exchange> exchange;
    bool first = false;
    {
        const std::scoped_lock lock{m_mutex};
        const auto it = m_waiting.find(event.id);
        if (it == m_waiting.end())
        {
            return;
        }
        first = !std::exchange(it->second.streaming, true);
        exchange = it->second.exchange;
    }
    if (first)
    {
        exchange->begin_stream(status_ok, {});
    }
    exchange->write(format_sse({.id = std::to_string(event.event), .event = event.name, .data = event.data}));
}

void caller_desk::end(const caller_end& end)
{
    const auto caller = take_out(end.id);
    if (caller.exchange)
    {
        caller.exchange->end_stream();
    }
}

std::size_t caller_desk::waiting() const
{
    const std::scoped_lock lock{m_mutex};
    return m_waiting.size();
}

} // namespace masticcourse
