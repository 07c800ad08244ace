#include "target_systems.hpp"

#include <algorithm>
#include <cmath>

namespace masticcourse::detail
{

namespace
{

using seconds = std::chrono::duration<double>;

/// The weight of the newest measurement.
constexpr double newest_weight = 0.2;
/// Fewer tokens than this tell nothing about a speed.
constexpr token_count least_measured = 16;
constexpr double assumed_prefill_rate = 8'000;
constexpr double assumed_decode_rate = 50;
constexpr std::chrono::milliseconds shortest_retry{100};
constexpr std::chrono::milliseconds longest_retry{60'000};
/// What a waiting call of a plain service is assumed to take.
constexpr double assumed_tool_seconds = 0.2;

void average(double& rate, token_count tokens, core_duration time)
{
    if (tokens < least_measured || time <= core_duration::zero())
    {
        return;
    }
    const double measured = static_cast<double>(tokens) / seconds{time}.count();
    rate = rate > 0 ? rate + newest_weight * (measured - rate) : measured;
}

bool same_load(const target_load& a, const target_load& b)
{
    return a.queued == b.queued && a.running == b.running && a.queued_prefill == b.queued_prefill &&
           a.queued_decode == b.queued_decode && a.cache_used == b.cache_used;
}

/// The parts of a cache report that one link gets.
struct cache_report
{
    target_cache message;

    void add(const target_state& s, const program_id& program)
    {
        const auto it = s.programs.find(program);
        const token_count held = it == s.programs.end() ? 0 : it->second.held;
        if (held > 0)
        {
            message.held.push_back({.program = program, .tokens = held});
        }
        else
        {
            message.dropped.push_back(program);
        }
    }
};

/// The link of the program's home; 0 if it is not known, and all links are told.
link_id home_of_program(const target_state& s, const program_id& program)
{
    const auto it = s.programs.find(program);
    if (it == s.programs.end() || !it->second.shard)
    {
        return 0;
    }
    const auto fence = s.shards.find(*it->second.shard);
    return fence == s.shards.end() ? 0 : fence->second.link;
}

void send_cache_changes(target_state& s)
{
    std::map<link_id, cache_report> reports;
    for (const auto& program : s.cache_changes)
    {
        const link_id home = home_of_program(s, program);
        if (home != 0)
        {
            reports[home].add(s, program);
            continue;
        }
        for (const auto& [id, link] : s.links)
        {
            reports[id].add(s, program);
        }
    }
    s.cache_changes.clear();
    for (auto& [id, report] : reports)
    {
        s.send(id, std::move(report.message));
    }
}

} // namespace

void measure(target_state& s, const target_call& call)
{
    if (call.outcome.error.failed() || !call.first_token)
    {
        return;
    }
    const token_usage& usage = call.outcome.usage;
    average(s.rates.prefill, usage.prompt - usage.cached, *call.first_token - *call.started);
    average(s.rates.decode, usage.completion - 1, call.ended - *call.first_token);
}

target_load present_load(const target_state& s)
{
    target_load load{.service = s.options.service,
                     .failure_domain = s.options.domain,
                     .queued = static_cast<std::uint32_t>(s.queue.size()),
                     .running = s.admission.running_count(),
                     .queued_prefill = s.queue.queued_prefill() + s.admission.pending_prefill_tokens(),
                     .queued_decode = s.queue.queued_decode() + s.admission.pending_decode_tokens(),
                     .cache_capacity = s.options.cache_capacity,
                     .prefill_rate = s.rates.prefill,
                     .leaving = s.leaving};
    // What a full batch would give: a lightly loaded target must not look slow for its small batch.
    load.decode_rate = s.rates.decode * s.options.max_running;
    if (s.memory)
    {
        load.cache_used = s.memory->used;
        load.cache_capacity = s.memory->capacity;
    }
    return load;
}

std::chrono::milliseconds time_to_come_back(const target_state& s)
{
    const double prefill = s.rates.prefill > 0 ? s.rates.prefill : assumed_prefill_rate;
    const double one = s.rates.decode > 0 ? s.rates.decode : assumed_decode_rate;
    const double places = std::max(1U, s.options.max_running);
    const double work = s.options.kind == call_kind::model
                            ? static_cast<double>(s.queue.queued_prefill()) / prefill +
                                  static_cast<double>(s.queue.queued_decode()) / (one * places)
                            : static_cast<double>(s.queue.size()) * assumed_tool_seconds / places;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(seconds{work});
    return std::clamp(wait, shortest_retry, longest_retry);
}

void send_reports(target_state& s)
{
    const target_load load = present_load(s);
    const core_duration age = s.now - s.last_report;
    const bool changed = !same_load(load, s.reported) || !s.cache_changes.empty();
    const bool due = age >= s.options.idle_report_period || (changed && age >= s.options.report_period);
    if (!due && load.leaving == s.reported.leaving)
    {
        return;
    }
    s.reported = load;
    s.last_report = s.now;
    for (const auto& [id, link] : s.links)
    {
        s.send(id, load);
    }
    send_cache_changes(s);
}

void send_full_report(target_state& s, link_id link)
{
    s.send(link, present_load(s));
    target_cache cache;
    for (const auto& [program, lease] : s.programs)
    {
        if (lease.held > 0)
        {
            cache.held.push_back({.program = program, .tokens = lease.held});
        }
    }
    s.send(link, std::move(cache));
}

} // namespace masticcourse::detail
