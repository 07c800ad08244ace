// Connections, heartbeats and membership: a process is live while heartbeats of its present incarnation come.
#include "entry_systems.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::detail
{

namespace
{

constexpr auto redial_gap = std::chrono::milliseconds{300};

peer_hello own_hello(const entry_state& state)
{
    return {.role = process_role::entry,
            .name = state.options.name,
            .incarnation = state.options.incarnation,
            .address = state.options.peer_address,
            .config = state.config.version()};
}

/// Between two entries the one with the smaller name dials, so that there is one connection.
bool dials(const entry_state& state, const peer_row& peer)
{
    return peer.known.role == process_role::target || state.options.name < peer.known.name;
}

void dial(entry_state& state, peer_row& peer)
{
    const auto link = state.next_link++;
    state.links[link] = {.outbound = true, .name = peer.known.name, .last_heard = state.now};
    peer.link = link;
    peer.next_dial = state.now + redial_gap;
    state.emit(open_peer{link, peer.known.address});
}

void lose_peer(entry_state& state, peer_row& peer)
{
    peer.link.reset();
    if (!std::exchange(peer.live, false))
    {
        return;
    }
    state.trace(event_id::peer_lost, {}, {}, {{"peer", peer.known.name.value}});
    if (peer.known.role == process_role::target)
    {
        on_target_lost(state, peer.known.name);
    }
}

void close_link(entry_state& state, link_id link)
{
    state.emit(close_peer{link});
    on_link_closed(state, link);
}

void beat(entry_state& state, link_id id, link_row& link)
{
    link.last_sent = state.now;
    send(state, id,
         peer_heartbeat{.sequence = ++link.sequence,
                        .config = state.config.version(),
                        .store_reachable = !state.store_away_since,
                        .leaving = state.stopping});
}

void check_links(entry_state& state)
{
    std::vector<link_id> silent;
    for (auto& [id, link] : state.links)
    {
        if (state.now - link.last_heard > state.options.peer_timeout)
        {
            silent.push_back(id);
        }
        else if (link.open && state.now - link.last_sent >= state.options.heartbeat_period)
        {
            beat(state, id, link);
        }
    }
    for (const auto id : silent)
    {
        state.trace(event_id::peer_silent, {}, {}, {{"peer", state.links[id].name.value}});
        close_link(state, id);
    }
}

peer_row& row_for_hello(entry_state& state, const peer_hello& hello)
{
    auto& peer = state.peers[hello.name];
    if (peer.known.name.empty())
    {
        peer.known = {.role = hello.role, .name = hello.name, .address = hello.address};
    }
    return peer;
}

void on_hello(entry_state& state, link_id link, const peer_hello& hello)
{
    auto& peer = row_for_hello(state, hello);
    if (peer.link && *peer.link != link)
    {
        const auto old = *peer.link;
        peer.link.reset();
        close_link(state, old);
    }
    const bool same = peer.incarnation == hello.incarnation;
    const bool restarted = !same && !peer.incarnation.empty();
    state.links[link].name = hello.name;
    peer.link = link;
    peer.incarnation = hello.incarnation;
    peer.last_heard = state.now;
    peer.leaving = false;
    const bool was_live = std::exchange(peer.live, true);
    state.trace(restarted ? event_id::peer_restarted : event_id::peer_up, {}, {},
                {{"peer", hello.name.value}, {"incarnation", hello.incarnation.value}});
    state.config.on_named(hello.incarnation, hello.config, state.now);
    if (hello.role == process_role::target && (!was_live || !same))
    {
        on_target_back(state, hello.name, same);
    }
}

void on_heartbeat(entry_state& state, link_id link, const peer_heartbeat& beat)
{
    const auto it = state.peers.find(state.links[link].name);
    if (it == state.peers.end() || it->second.link != link)
    {
        return;
    }
    auto& peer = it->second;
    peer.last_heard = state.now;
    peer.store_reachable = beat.store_reachable;
    peer.leaving = beat.leaving;
    state.config.on_named(peer.incarnation, beat.config, state.now);
}

void on_load(entry_state& state, const process_name& name, const target_load& load)
{
    auto& target = state.targets[name];
    auto& peer = state.peers[name];
    peer.known.service = load.service;
    peer.known.failure_domain = load.failure_domain;
    peer.leaving = peer.leaving || load.leaving;
    target.report = load;
    target.reported = state.now;
    target.tracker.on_report(state.now);
}

/// What a target says that it holds lags: it can only lower what this home believes, or fill in what it does
/// not know.
void on_cache(entry_state& state, const process_name& name, const target_cache& cache)
{
    for (const auto& held : cache.held)
    {
        const auto it = state.runtimes.find(held.program);
        if (it == state.runtimes.end())
        {
            continue;
        }
        auto& places = it->second.prefixes;
        const auto place = std::ranges::find(places, name, &prefix_place::target);
        if (place == places.end())
        {
            places.push_back({name, held.tokens});
            continue;
        }
        place->tokens = std::min(place->tokens, held.tokens);
    }
    for (const auto& program : cache.dropped)
    {
        if (const auto it = state.runtimes.find(program); it != state.runtimes.end())
        {
            std::erase_if(it->second.prefixes,
                          [&](const prefix_place& place) { return place.target == name; });
        }
    }
}

/// Hands each message of a peer to its system. Those that only target processes take are ignored here.
struct message_visitor
{
    entry_state& state;
    link_id link;
    const process_name& from;

    void operator()(const peer_hello& it) const
    {
        on_hello(state, link, it);
    }

    void operator()(const peer_heartbeat& it) const
    {
        on_heartbeat(state, link, it);
    }

    void operator()(const config_request& it) const
    {
        if (auto answer = state.config.answer(it))
        {
            send(state, link, std::move(*answer));
        }
    }

    void operator()(const config_reply& it) const
    {
        state.config.on_peer_reply(it, state.now);
    }

    void operator()(const call_refused& it) const
    {
        on_call_refused(state, from, it);
    }

    void operator()(const call_tokens& it) const
    {
        on_call_tokens(state, from, it);
    }

    void operator()(const call_finished& it) const
    {
        on_call_finished(state, from, it);
    }

    void operator()(const call_answer& it) const
    {
        on_call_answer(state, from, it);
    }

    void operator()(const target_load& it) const
    {
        on_load(state, from, it);
    }

    void operator()(const target_cache& it) const
    {
        on_cache(state, from, it);
    }

    void operator()(const kept_results& it) const
    {
        on_kept_results(state, from, it);
    }

    void operator()(const forward_request& it) const
    {
        handle_request(state, forwarded_caller{link, it.id}, it);
    }

    void operator()(const forward_reply& it) const
    {
        on_forward_reply(state, link, it);
    }

    void operator()(const forward_event& it) const
    {
        on_forward_event(state, link, it);
    }

    void operator()(const shard_owners& it) const
    {
        on_shard_owners(state, it);
    }

    void operator()(const liveness_ask& it) const
    {
        send(state, link, liveness_answer{it.incarnation, is_live(state, it.incarnation)});
    }

    void operator()(const liveness_answer& it) const
    {
        on_liveness_answer(state, it);
    }

    void operator()(const relay_store& it) const
    {
        run_on_store(state, it.operation, relayed_purpose{link, it.id});
    }

    void operator()(const relay_reply& it) const
    {
        on_relay_reply(state, it);
    }

    template <typename Other>
    void operator()(const Other& /*it*/) const
    {
    }
};

} // namespace

void learn_processes(entry_state& state, const std::vector<known_process>& processes)
{
    for (auto& [name, peer] : state.peers)
    {
        peer.listed = false;
    }
    for (const auto& known : processes)
    {
        if (known.name == state.options.name)
        {
            continue;
        }
        auto& peer = state.peers[known.name];
        peer.known = known;
        peer.listed = true;
        if (known.role == process_role::target)
        {
            state.targets.try_emplace(known.name);
        }
    }
}

void on_link_opened(entry_state& state, link_id link)
{
    auto& row = state.links[link];
    row.open = true;
    row.last_heard = state.now;
    row.last_sent = state.now;
    send(state, link, own_hello(state));
}

void on_link_closed(entry_state& state, link_id link)
{
    const auto it = state.links.find(link);
    if (it == state.links.end())
    {
        return;
    }
    const auto name = it->second.name;
    state.links.erase(it);
    const auto peer = state.peers.find(name);
    if (peer != state.peers.end() && peer->second.link == link)
    {
        lose_peer(state, peer->second);
    }
}

void on_peer_message(entry_state& state, link_id link, const peer_message& message)
{
    const auto it = state.links.find(link);
    if (it == state.links.end())
    {
        return;
    }
    it->second.last_heard = state.now;
    const auto from = it->second.name;
    const auto* const peer = peer_of(state, link);
    const bool greets = std::holds_alternative<peer_hello>(message);
    if (!greets && (peer == nullptr || !peer->live))
    {
        // Nothing is believed of a process that has not said which incarnation it is.
        return;
    }
    std::visit(message_visitor{state, link, from}, message);
}

void send(entry_state& state, link_id link, peer_message message)
{
    state.emit(send_peer{link, std::move(message)});
}

bool send_to(entry_state& state, const process_name& name, peer_message message)
{
    const auto it = state.peers.find(name);
    if (it == state.peers.end() || !it->second.live)
    {
        return false;
    }
    send(state, *it->second.link, std::move(message));
    return true;
}

const peer_row* peer_of(const entry_state& state, link_id link)
{
    const auto it = state.links.find(link);
    if (it == state.links.end())
    {
        return nullptr;
    }
    const auto peer = state.peers.find(it->second.name);
    return peer != state.peers.end() && peer->second.link == link ? &peer->second : nullptr;
}

bool is_live(const entry_state& state, const incarnation_id& incarnation)
{
    return std::ranges::any_of(state.peers, [&](const auto& it)
                               { return it.second.live && it.second.incarnation == incarnation; });
}

void close_all_links(entry_state& state)
{
    std::vector<link_id> all;
    std::ranges::transform(state.links, std::back_inserter(all), [](const auto& it) { return it.first; });
    std::ranges::for_each(all, [&](link_id id) { close_link(state, id); });
}

void run_membership(entry_state& state)
{
    check_links(state);
    for (auto& [name, peer] : state.peers)
    {
        if (peer.listed && !peer.link && dials(state, peer) && state.now >= peer.next_dial)
        {
            dial(state, peer);
        }
    }
}

} // namespace masticcourse::detail
