#include "masticcourse/core/invariant.hpp"
#include "target_systems.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::detail
{

namespace
{

constexpr core_duration lease_check_period = std::chrono::milliseconds{100};
/// How long a renewal by a home that does not know of a release may still be on its way.
constexpr core_duration release_memory = std::chrono::minutes{1};

std::vector<call_ref> calls_of(const target_state& s, const program_id& program)
{
    std::vector<call_ref> refs;
    for (auto it = s.calls.lower_bound({.program = program, .key = {}});
         it != s.calls.end() && it->first.program == program; ++it)
    {
        refs.push_back(it->first);
    }
    return refs;
}

/// Cancels what runs for a program and frees its engine memory.
void drop_program(target_state& s, const program_id& program)
{
    for (const auto& ref : calls_of(s, program))
    {
        cancel(s, ref);
    }
    if (s.options.kind == call_kind::model)
    {
        s.out.emplace_back(engine_free{.program = program});
    }
    s.programs.erase(program);
    s.cache_changes.insert(program);
}

/// Whether a renewal by @a link counts for a program: only its newest home may keep its memory.
bool may_renew(const target_state& s, const program_id& program, link_id link)
{
    if (s.released.contains(program))
    {
        return false;
    }
    const auto it = s.programs.find(program);
    if (it == s.programs.end() || !it->second.shard)
    {
        return true;
    }
    const auto fence = s.shards.find(*it->second.shard);
    return fence == s.shards.end() || fence->second.link == link;
}

void free_orphan(target_state& s, const program_id& program)
{
    s.counts.orphans_freed += 1;
    s.trace(event_id::orphan_freed, {.program = program, .key = {}});
    s.out.emplace_back(engine_free{.program = program});
}

bool has_calls(const target_state& s, const program_id& program)
{
    return std::ranges::any_of(calls_of(s, program), [&s](const call_ref& ref)
                               { return s.calls.at(ref).stage != call_stage::finished; });
}

void ask_for_listing(target_state& s)
{
    if (s.options.kind == call_kind::model && s.now >= s.next_listing)
    {
        s.next_listing = s.now + s.options.listing_period;
        s.out.emplace_back(engine_list_request{});
    }
}

} // namespace

void touch_program(target_state& s, const program_id& program, shard_index shard)
{
    s.released.erase(program);
    program_lease& lease = s.programs[program];
    lease.shard = shard;
    lease.until = std::max(lease.until, s.now + s.options.first_lease);
}

void set_held(target_state& s, const program_id& program, token_count tokens)
{
    const auto it = s.programs.find(program);
    if (it != s.programs.end() && it->second.held != tokens)
    {
        it->second.held = tokens;
        s.cache_changes.insert(program);
    }
}

void take_renewal(target_state& s, link_id link, const renew_programs& message)
{
    for (const auto& program : message.programs)
    {
        if (may_renew(s, program, link))
        {
            program_lease& lease = s.programs[program];
            lease.until = std::max(lease.until, s.now + message.lease);
        }
    }
}

void take_release(target_state& s, link_id link, const release_program& message)
{
    if (!pass_fence(s, message.shard, message.epoch, link))
    {
        return;
    }
    s.released[message.program] = s.now + release_memory;
    drop_program(s, message.program);
    for (const auto& ref : calls_of(s, message.program))
    {
        if (s.calls.at(ref).stage == call_stage::finished)
        {
            // Nobody will say that it is durable: the program is over.
            settle(s, ref, settlement::ended);
        }
    }
}

void expire_leases(target_state& s)
{
    ask_for_listing(s);
    if (s.now < s.next_lease_check)
    {
        return;
    }
    s.next_lease_check = s.now + lease_check_period;
    std::vector<program_id> lapsed;
    for (const auto& [program, lease] : s.programs)
    {
        if (lease.until <= s.now)
        {
            lapsed.push_back(program);
        }
    }
    for (const auto& program : lapsed)
    {
        s.counts.leases_lapsed += 1;
        s.trace(event_id::lease_lapsed, {.program = program, .key = {}});
        drop_program(s, program);
    }
    std::erase_if(s.released, [&s](const auto& it) { return it.second <= s.now; });
}

void take_listing(target_state& s, const engine_listing& input)
{
    std::map<program_id, token_count> listed;
    for (const auto& it : input.programs)
    {
        listed[it.program] = it.tokens;
    }
    // After a restart of this process its homes have had no time to renew yet.
    const bool homes_had_time = s.now >= *s.started_at + s.options.first_lease;
    for (const auto& [program, tokens] : listed)
    {
        if (!s.programs.contains(program) && (homes_had_time || s.released.contains(program)))
        {
            free_orphan(s, program);
        }
    }
    for (const auto& [program, lease] : s.programs)
    {
        if (!has_calls(s, program))
        {
            const auto it = listed.find(program);
            set_held(s, program, it == listed.end() ? 0 : it->second);
        }
    }
    s.trace(event_id::engine_reconciled, {}, {{"programs", std::to_string(listed.size())}});
}

} // namespace masticcourse::detail
