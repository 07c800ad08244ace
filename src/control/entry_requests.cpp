// Requests: those of programs at home here are handled, others go to the program's home and their answers
// come back.
#include "entry_systems.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::detail
{

namespace
{

constexpr auto retry_gap = std::chrono::milliseconds{100};
constexpr auto retry_after_takeover = std::chrono::seconds{2};

/// Hands a typed request to its handler.
struct request_visitor
{
    entry_state& state;
    const reply_route& route;
    const forward_request& raw;

    void operator()(const create_program& it) const
    {
        handle_create(state, route, raw.workspace, it);
    }

    void operator()(const submit_call& it) const
    {
        handle_call(state, route, raw, it);
    }

    void operator()(const get_call& it) const
    {
        handle_get_call(state, route, raw, it);
    }

    void operator()(const get_history& it) const
    {
        handle_history(state, route, raw.workspace, it.program);
    }

    void operator()(const end_program& it) const
    {
        handle_end(state, route, raw.workspace, it.program);
    }

    void operator()(const list_programs& /*it*/) const
    {
        handle_list(state, route);
    }

    void operator()(const get_status& /*it*/) const
    {
        handle_status(state, route);
    }

    void operator()(const get_config& /*it*/) const
    {
        handle_get_config(state, route);
    }

    void operator()(const patch_config& it) const
    {
        handle_patch_config(state, route, it);
    }
};

/// The link to the live home of a shard, if it is another process.
std::optional<link_id> link_to_home(const entry_state& state, const shard_state& shard)
{
    for (const auto& [name, peer] : state.peers)
    {
        if (peer.live && peer.incarnation == shard.owner)
        {
            return peer.link;
        }
    }
    return std::nullopt;
}

bool serves_here(const shard_state& shard)
{
    // While a shard is being released, no record of it may follow: its requests wait for the next home.
    return shard.owned && shard.serving;
}

/// Whether a home is about to be there, so that waiting for it beats a refusal.
bool home_is_coming(const entry_state& state, const shard_state& shard)
{
    return shard.owned || shard.claim || (shard.owner.empty() && shard.epoch > 0 && !state.peers.empty());
}

void forward_over(entry_state& state, std::uint64_t id, forwarded_row& row, link_id link)
{
    row.link = link;
    row.raw.repeated = std::exchange(row.may_have_run, true);
    auto raw = row.raw;
    raw.id = id;
    send(state, link, std::move(raw));
}

problem no_home(const forwarded_row& row)
{
    return {problem_id::no_home, row.may_have_run ? ran_state::unknown : ran_state::no,
            "the program's home is being replaced; the same key gives the outcome", retry_after_takeover};
}

/// Gives a request to its home, or keeps it until there is one.
void hold(entry_state& state, request_id caller, const forward_request& raw, const program_id& program,
          std::optional<link_id> link)
{
    const auto id = state.next_forward++;
    auto& row = state.forwarded[id];
    row = {.caller = caller,
           .raw = raw,
           .program = program,
           .expires = state.now + state.options.forward_patience};
    if (link)
    {
        forward_over(state, id, row, *link);
    }
}

void handle_elsewhere(entry_state& state, const reply_route& route, const forward_request& raw,
                      const program_id& program)
{
    const auto& shard = shard_for(state, program);
    const auto link = link_to_home(state, shard);
    const auto* const local = std::get_if<local_caller>(&route);
    if (local != nullptr && (link || home_is_coming(state, shard)))
    {
        hold(state, local->id, raw, program, link);
        return;
    }
    if (local == nullptr)
    {
        // A forwarded request goes no further: its entry learns who the home is and sends it there.
        reply(state, route, forward_misdirected, {});
        return;
    }
    reply_problem(
        state, route,
        {problem_id::no_home, ran_state::no, "this program has no home at the moment", retry_after_takeover});
}

std::map<std::uint64_t, forwarded_row>::iterator find_forward(entry_state& state, link_id link,
                                                              std::uint64_t id)
{
    const auto it = state.forwarded.find(id);
    return it != state.forwarded.end() && it->second.link == link ? it : state.forwarded.end();
}

/// The home of a held request has gone: the request is sent again, by the same key, once there is a new one.
void place_again(entry_state& state, std::uint64_t id, forwarded_row& row)
{
    const auto& shard = shard_for(state, row.program);
    if (serves_here(shard))
    {
        auto held = std::move(row);
        state.forwarded.erase(id);
        held.raw.repeated = held.may_have_run;
        handle_request(state, local_caller{held.caller}, held.raw);
        return;
    }
    if (const auto link = link_to_home(state, shard))
    {
        forward_over(state, id, row, *link);
        return;
    }
    if (state.now >= row.expires)
    {
        const auto held = std::move(row);
        state.forwarded.erase(id);
        waiter caller = make_waiter(local_caller{held.caller}, held.raw);
        deliver_problem(state, caller, no_home(held));
    }
}

} // namespace

void handle_request(entry_state& state, const reply_route& route, const forward_request& raw)
{
    const auto parsed = parse_api_request(raw, state.view);
    if (!parsed.request)
    {
        reply_problem(state, route, parsed.error);
        return;
    }
    auto program = program_of(*parsed.request);
    if (const auto* const creation = std::get_if<create_program>(&*parsed.request))
    {
        program = home_of_creation(raw.workspace, *creation);
        if (program.empty() && std::ranges::none_of(state.shards, &shard_state::serving))
        {
            // No home here: a key of our own makes it a request that another entry can take.
            auto keyed = raw;
            keyed.key = make_incarnation({}, state.random()).value;
            handle_request(state, route, keyed);
            return;
        }
    }
    if (!program.empty() && !serves_here(shard_for(state, program)))
    {
        handle_elsewhere(state, route, raw, program);
        return;
    }
    if (!program.empty() && state.confirm)
    {
        auto caller = make_waiter(route, raw);
        deliver_problem(state, caller, obstacle(state));
        return;
    }
    std::visit(request_visitor{state, route, raw}, *parsed.request);
}

void on_forward_reply(entry_state& state, link_id link, const forward_reply& message)
{
    const auto it = find_forward(state, link, message.id);
    if (it == state.forwarded.end())
    {
        return;
    }
    if (message.status == forward_misdirected)
    {
        // Nothing was done there: it counts as not sent, and waits for the home to be known.
        it->second.may_have_run = it->second.raw.repeated;
        it->second.link.reset();
        it->second.next_try = state.now + retry_gap;
        return;
    }
    const auto row = std::move(it->second);
    state.forwarded.erase(it);
    if (message.status == forward_stream_ended)
    {
        state.emit(caller_end{row.caller});
        return;
    }
    state.emit(caller_reply{row.caller, message.status, message.body, std::nullopt, message.retry_after});
}

void on_forward_event(entry_state& state, link_id link, const forward_event& message)
{
    const auto it = find_forward(state, link, message.id);
    if (it == state.forwarded.end())
    {
        return;
    }
    // If the home is lost, the stream goes on behind this event at the next one.
    it->second.raw.last_event = message.event;
    state.emit(caller_event{it->second.caller, message.event, message.name, message.data});
}

void forget_caller(entry_state& state, request_id id)
{
    std::erase_if(state.forwarded, [&](const auto& it) { return it.second.caller == id; });
    remove_waiters(state, id);
}

void run_forwards(entry_state& state)
{
    std::vector<std::uint64_t> homeless;
    for (auto& [id, row] : state.forwarded)
    {
        if (row.link && !state.links.contains(*row.link))
        {
            row.link.reset();
            row.expires = state.now + state.options.forward_patience;
        }
        if (!row.link && state.now >= row.next_try)
        {
            homeless.push_back(id);
        }
    }
    for (const auto id : homeless)
    {
        if (const auto it = state.forwarded.find(id); it != state.forwarded.end())
        {
            place_again(state, id, it->second);
        }
    }
}

} // namespace masticcourse::detail
