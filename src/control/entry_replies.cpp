// Answers to callers, here or at the entry that forwarded their request, whole or as a stream that can be
// resumed.
#include "api_documents.hpp"
#include "entry_systems.hpp"

#include <xxhash.h>

namespace masticcourse::detail
{

namespace
{

constexpr int status_ok = 200;
constexpr std::uint64_t hash_bits = 24;

/// The id of a stream's event: how many bytes of the answer the caller has with it, and a hash of them. So
/// any home can resume the stream, and notices if the caller holds another answer's beginning.
std::uint64_t event_id_at(const std::string& answer, std::size_t offset)
{
    const auto hash = XXH64(answer.data(), offset, 0) & ((std::uint64_t{1} << hash_bits) - 1);
    return (static_cast<std::uint64_t>(offset) << hash_bits) | hash;
}

struct event_sender
{
    entry_state& state;
    std::uint64_t event;
    const std::string& name;
    const std::string& data;

    void operator()(const local_caller& to) const
    {
        state.emit(caller_event{to.id, event, name, data});
    }

    void operator()(const forwarded_caller& to) const
    {
        send(state, to.link, forward_event{to.id, event, name, data});
    }
};

void send_event(entry_state& state, const reply_route& route, std::uint64_t event, const std::string& name,
                const std::string& data)
{
    std::visit(event_sender{state, event, name, data}, route);
}

/// A caller that holds the beginning of another answer than this one is told to start again.
void check_beginning(entry_state& state, waiter& waiter, const std::string& answer)
{
    const bool same =
        waiter.offset <= answer.size() && event_id_at(answer, waiter.offset) == waiter.last_event;
    if (waiter.offset == 0 || same)
    {
        return;
    }
    waiter.offset = 0;
    send_event(state, waiter.route, 0, "restart", "{}");
}

struct end_sender
{
    entry_state& state;

    void operator()(const local_caller& to) const
    {
        state.emit(caller_end{to.id});
    }

    void operator()(const forwarded_caller& to) const
    {
        send(state, to.link, forward_reply{.id = to.id});
    }
};

} // namespace

void reply(entry_state& state, const reply_route& route, int status, std::string body,
           std::optional<config_version> etag, std::optional<std::chrono::milliseconds> retry_after)
{
    if (const auto* const local = std::get_if<local_caller>(&route))
    {
        state.emit(caller_reply{local->id, status, std::move(body), etag, retry_after});
        return;
    }
    const auto& to = std::get<forwarded_caller>(route);
    send(state, to.link, forward_reply{to.id, status, std::move(body), retry_after});
}

void reply_problem(entry_state& state, const reply_route& route, const problem& failure)
{
    reply(state, route, http_status(failure.id), problem_document(failure), std::nullopt,
          failure.retry_after);
}

void stream_to(entry_state& state, waiter& waiter, const std::string& answer)
{
    if (!waiter.stream || waiter.offset >= answer.size())
    {
        return;
    }
    check_beginning(state, waiter, answer);
    const auto text = answer.substr(waiter.offset);
    waiter.offset = answer.size();
    waiter.last_event = event_id_at(answer, answer.size());
    send_event(state, waiter.route, waiter.last_event, "token", token_document(text));
}

void deliver(entry_state& state, waiter& waiter, std::uint32_t turn_number, const call_key& key,
             const call_outcome& outcome, bool durable)
{
    auto document = outcome_document(turn_number, key, outcome, durable);
    if (!waiter.stream)
    {
        const int status = outcome.error.failed() ? http_status(outcome.error.id) : status_ok;
        reply(state, waiter.route, status, std::move(document), std::nullopt, outcome.error.retry_after);
        return;
    }
    check_beginning(state, waiter, outcome.output);
    stream_to(state, waiter, outcome.output);
    send_event(state, waiter.route, event_id_at(outcome.output, outcome.output.size()), "outcome", document);
    std::visit(end_sender{state}, waiter.route);
}

void deliver_problem(entry_state& state, waiter& waiter, const problem& given)
{
    auto failure = given;
    if (waiter.repeated && failure.ran == ran_state::no)
    {
        failure.ran = ran_state::unknown;
    }
    if (!waiter.stream || waiter.offset == 0)
    {
        reply_problem(state, waiter.route, failure);
        return;
    }
    send_event(state, waiter.route, 0, "problem", problem_document(failure));
    std::visit(end_sender{state}, waiter.route);
}

waiter make_waiter(const reply_route& route, const forward_request& raw)
{
    waiter made{.route = route, .stream = raw.stream, .repeated = raw.repeated};
    if (raw.stream && raw.last_event)
    {
        made.last_event = *raw.last_event;
        made.offset = static_cast<std::size_t>(*raw.last_event >> hash_bits);
    }
    return made;
}

} // namespace masticcourse::detail
