#include "masticcourse/core/invariant.hpp"
#include "target_systems.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::detail
{

namespace
{

constexpr core_duration config_request_gap = std::chrono::milliseconds{500};

std::string name_of(const target_link& link)
{
    return link.hello ? link.hello->name.value : "";
}

/// Asks for a configuration that a peer has and this process has not.
void fetch_config(target_state& s, link_id link, config_version version)
{
    if (version > s.config.version && s.now >= s.next_config_request)
    {
        s.next_config_request = s.now + config_request_gap;
        s.send(link, config_request{.newer_than = s.config.version});
    }
}

/// A process that connects anew has given up its older connections, and what they still carry.
void close_older_links(target_state& s, link_id newest, const incarnation_id& incarnation)
{
    std::vector<link_id> older;
    for (const auto& [id, link] : s.links)
    {
        if (id != newest && !incarnation.empty() && link.hello && link.hello->incarnation == incarnation)
        {
            older.push_back(id);
        }
    }
    for (const link_id id : older)
    {
        s.out.emplace_back(close_peer{.link = id});
        take_closed(s, id);
    }
}

void send_heartbeat(target_state& s, link_id id, target_link& link)
{
    link.sequence += 1;
    link.next_heartbeat = s.now + s.options.heartbeat_period;
    s.send(id, peer_heartbeat{.sequence = link.sequence,
                              .config = s.config.version,
                              .store_reachable = s.store_reachable,
                              .leaving = s.leaving});
}

} // namespace

void take_opened(target_state& s, link_id id)
{
    s.links[id] = {.last_heard = s.now, .next_heartbeat = s.now + s.options.heartbeat_period};
    s.send(id, peer_hello{.role = process_role::target,
                          .name = s.options.name,
                          .incarnation = s.options.incarnation,
                          .address = s.options.address,
                          .config = s.config.version});
}

void take_closed(target_state& s, link_id id)
{
    const auto it = s.links.find(id);
    if (it == s.links.end())
    {
        return;
    }
    s.trace(event_id::peer_lost, {}, {{"peer", name_of(it->second)}});
    for (auto& [shard, fence] : s.shards)
    {
        fence.link = fence.link == id ? 0 : fence.link;
    }
    s.links.erase(it);
}

void take_hello(target_state& s, link_id id, const peer_hello& message)
{
    close_older_links(s, id, message.incarnation);
    s.links.at(id).hello = message;
    for (auto& [shard, fence] : s.shards)
    {
        fence.link = fence.home == message.incarnation ? id : fence.link;
    }
    s.trace(event_id::peer_up, {}, {{"peer", message.name.value}});
    fetch_config(s, id, message.config);
    send_full_report(s, id);
}

void take_heartbeat(target_state& s, link_id id, const peer_heartbeat& message)
{
    fetch_config(s, id, message.config);
}

void take_config_request(target_state& s, link_id id, const config_request& message)
{
    if (s.config.version > message.newer_than)
    {
        s.send(id, s.config);
    }
}

void take_config(target_state& s, config_reply message)
{
    if (message.version <= s.config.version)
    {
        return;
    }
    s.config = std::move(message);
    s.next_config_request = s.now;
    s.trace(event_id::config_applied, {}, {{"version", std::to_string(s.config.version)}});
}

void take_liveness(target_state& s, link_id id, const liveness_ask& message)
{
    const bool heard = std::ranges::any_of(s.links,
                                           [&](const auto& it)
                                           {
                                               const target_link& link = it.second;
                                               return link.hello &&
                                                      link.hello->incarnation == message.incarnation &&
                                                      s.now < link.last_heard + s.options.peer_timeout;
                                           });
    s.send(id, liveness_answer{.incarnation = message.incarnation, .heard = heard});
}

void take_relay(target_state& s, link_id id, relay_store message)
{
    s.last_relay += 1;
    s.relays[s.last_relay] = {.link = id, .id = message.id};
    s.out.emplace_back(run_store_op{.id = s.last_relay, .operation = std::move(message.operation)});
}

void take_store_done(target_state& s, store_done input)
{
    const auto status = input.reply.status;
    s.store_reachable = status != store_status::outcome_unknown && status != store_status::unavailable;
    const auto it = s.relays.find(input.id);
    if (it != s.relays.end())
    {
        s.send(it->second.link, relay_reply{.id = it->second.id, .reply = std::move(input.reply)});
        s.relays.erase(it);
    }
}

void close_silent_links(target_state& s)
{
    std::vector<link_id> silent;
    for (const auto& [id, link] : s.links)
    {
        if (link.last_heard + s.options.peer_timeout <= s.now)
        {
            silent.push_back(id);
        }
    }
    for (const link_id id : silent)
    {
        s.trace(event_id::peer_silent, {}, {{"peer", name_of(s.links.at(id))}});
        s.out.emplace_back(close_peer{.link = id});
        take_closed(s, id);
    }
}

void send_heartbeats(target_state& s)
{
    for (auto& [id, link] : s.links)
    {
        if (link.next_heartbeat <= s.now)
        {
            send_heartbeat(s, id, link);
        }
    }
}

void allow_for_pause(target_state& s, core_duration pause)
{
    if (pause < s.options.peer_timeout / 2)
    {
        return;
    }
    s.trace(event_id::process_paused, {}, {{"microseconds", std::to_string(pause.count())}});
    for (auto& [id, link] : s.links)
    {
        link.last_heard += pause;
    }
    for (auto& [program, lease] : s.programs)
    {
        lease.until += pause;
    }
}

} // namespace masticcourse::detail
