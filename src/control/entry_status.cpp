// The state of the process itself: status for operators, and the graceful stop.
#include "api_documents.hpp"
#include "entry_systems.hpp"

#include <algorithm>

namespace masticcourse::detail
{

namespace
{

constexpr int status_ok = 200;

entry_counts count(const entry_state& state)
{
    auto counts = state.counts;
    counts.programs = state.programs.programs().size();
    counts.calls_in_progress = state.calls.size();
    counts.shards_owned = static_cast<std::size_t>(std::ranges::count_if(state.shards, &shard_state::owned));
    counts.peers_live = static_cast<std::size_t>(
        std::ranges::count_if(state.peers, [](const auto& it) { return it.second.live; }));
    counts.ready = state.was_ready && !state.stopping;
    return counts;
}

} // namespace

void run_readiness(entry_state& state)
{
    const auto homeless = [](const shard_state& it) { return it.owner.empty() || (it.owned && !it.serving); };
    // Once ready it stays so: a shard without a home for a moment is no reason for the balancer to drop all
    // entries.
    state.was_ready = state.was_ready || (state.shards_listed && state.config_applied > 0 &&
                                          std::ranges::none_of(state.shards, homeless));
}

entry_counts counts_of(const entry_state& state)
{
    return count(state);
}

void handle_status(entry_state& state, const reply_route& route)
{
    entry_summary summary{.name = state.options.name,
                          .incarnation = state.options.incarnation,
                          .counts = count(state),
                          .config = state.config.version(),
                          .store_reachable = !state.store_away_since};
    for (const auto& [name, peer] : state.peers)
    {
        summary.peers.push_back({.name = name,
                                 .role = peer.known.role,
                                 .live = peer.live,
                                 .leaving = peer.leaving || peer.known.leaving});
    }
    reply(state, route, status_ok, status_document(summary));
}

void run_stop(entry_state& state)
{
    if (!state.stopping || state.stopped)
    {
        return;
    }
    const bool owns = std::ranges::any_of(state.shards, &shard_state::owned);
    const bool busy = !state.calls.empty() || !state.forwarded.empty() || !state.awaiting.empty();
    if (owns || busy)
    {
        return;
    }
    state.stopped = true;
    state.trace(event_id::process_stopped);
    state.emit(ready_to_stop{});
}

} // namespace masticcourse::detail
