#include "target_state.hpp"

#include <limits>
#include <utility>

namespace masticcourse::detail
{

namespace
{

/// Prompt tokens that may be in the engine unprefilled at once.
constexpr token_count max_unprefilled = 8'000;

engine_limits limits_of(const target_options& options)
{
    const token_count unlimited = std::numeric_limits<token_count>::max() / 2;
    return {.max_running = options.max_running,
            .max_tokens = options.cache_capacity > 0 ? options.cache_capacity : unlimited,
            .max_prefill_tokens = max_unprefilled};
}

} // namespace

target_state::target_state(target_options given)
    : options(std::move(given)), settled(options.settled_limit, options.settled_time), queue(options.order),
      admission(limits_of(options))
{
}

void target_state::send(link_id link, peer_message message)
{
    if (links.contains(link))
    {
        out.emplace_back(send_peer{.link = link, .message = std::move(message)});
    }
}

void target_state::trace(event_id id, const call_ref& call, std::vector<event_field> fields)
{
    out.emplace_back(
        trace_event{.id = id, .program = call.program, .call = call.key, .fields = std::move(fields)});
}

link_id target_state::home_of(const target_call& call) const
{
    const auto it = shards.find(call.order.shard);
    return it == shards.end() ? 0 : it->second.link;
}

call_outcome failed_outcome(problem_id id, ran_state ran, std::string detail)
{
    return {.error = {.id = id, .ran = ran, .detail = std::move(detail)}};
}

ran_state ran_when_cut(const target_call& call)
{
    if (call.stage == call_stage::queued && !call.ran_before)
    {
        return ran_state::no;
    }
    return call.order.request.idempotent ? ran_state::yes : ran_state::unknown;
}

} // namespace masticcourse::detail
