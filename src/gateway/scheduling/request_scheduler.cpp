#include "masticcourse/gateway/scheduling/request_scheduler.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <numeric>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

using namespace std::chrono_literals;
using real_seconds = std::chrono::duration<double>;

/// Requests that a target may have beyond its slots, as a fraction of them, so that the next one is there
/// when a slot becomes free: requests end every few tens of milliseconds, and one takes a few to reach its
/// target.
constexpr double extra_requests = 0.1;
/// Interval between evaluations of the outliers. Ejecting a target within a second is early enough.
constexpr milliseconds evaluation_interval{250};
/// Additional time of a request to a target in another failure domain: a connection that is rarely used often
/// has to be opened again, which takes two round trips of a millisecond and some work of the target.
constexpr duration cross_domain_time = 4ms;
/// Time to prefill one token at a typical engine, which reads 100 to 200 tokens in a millisecond.
constexpr duration prefill_token_time = 8us;

/// @name Durations assumed until requests have been observed
/// @{
constexpr duration default_first_event = 25ms;
constexpr duration default_output_token = 3ms;
constexpr duration default_response = 100ms;
/// @}

/// How long the room of a service is used before it is added up again over all targets. Own requests that
/// start and end meanwhile are counted.
constexpr milliseconds room_lifetime{20};

/// Programs and prompt parts that are remembered. A gateway serves some tens of programs a second, each for a
/// few seconds.
constexpr std::size_t max_programs = 4'096;
constexpr std::size_t max_prompt_parts = 4'096;

duration or_default(duration value, duration fallback)
{
    return value > duration::zero() ? value : fallback;
}

duration scaled(duration time, double factor)
{
    return std::chrono::duration_cast<duration>(time * factor);
}

bool has_repeatable_routes(const gateway_config& config, const service_name& service)
{
    const auto leads_to_service = [&service](const service_share& it) { return it.service == service; };
    return std::ranges::any_of(
        config.routes, [&](const route& it)
        { return it.repeatable() && std::ranges::any_of(it.services, leads_to_service); });
}

} // namespace

request_scheduler::request_scheduler(dependencies services)
    : m_services(std::move(services)), m_exchange({.peers = m_services.peers,
                                                   .send = m_services.send_digest,
                                                   .delay = m_services.delay,
                                                   .clock = m_services.clock,
                                                   .local = [this] { return collect_usage(); },
                                                   .on_update = [this] { apply_external_usage(); },
                                                   .self = m_services.self,
                                                   .incarnation = m_services.incarnation,
                                                   .metrics = m_services.metrics,
                                                   .seed = derive_seed(m_services.seed, "load exchange")}),
      m_programs(max_programs), m_prompts(max_prompt_parts)
{
}

void request_scheduler::set_config(config_ptr config)
{
    m_config = std::move(config);
    std::erase_if(m_states, [this](const auto& it)
                  { return m_config->find_service(it.first) == nullptr && it.second.held.empty(); });
    for (const auto& it : m_config->services)
    {
        const auto seed = derive_seed(m_services.seed, it.name.value);
        auto& state = m_states.try_emplace(it.name, seed).first->second;
        state.has_engines = it.engine.has_value();
        state.has_repeatable_routes = has_repeatable_routes(*m_config, it.name);
        if (m_services.options.admission && state.has_engines && !state.admission)
        {
            state.admission.emplace(admission_options{}, seed);
        }
    }
}

request_scheduler::service_state* request_scheduler::find(const service_name& service)
{
    const auto it = m_states.find(service);
    return it != m_states.end() ? &it->second : nullptr;
}

const request_scheduler::service_state* request_scheduler::find(const service_name& service) const
{
    const auto it = m_states.find(service);
    return it != m_states.end() ? &it->second : nullptr;
}

bool request_scheduler::schedules(const service_name& service, time_point now) const
{
    const auto* const state = find(service);
    return state != nullptr && (state->admission || state->performance.reports_time_factors(now));
}

void request_scheduler::sweep(time_point now)
{
    const auto is_scheduled = [&](const auto& it) { return schedules(it.first, now); };
    m_exchange.set_enabled(std::ranges::any_of(m_states, is_scheduled));
    const bool evaluate = now >= m_next_evaluation;
    if (evaluate)
    {
        m_next_evaluation = now + evaluation_interval;
        std::erase_if(m_reports,
                      [this](const auto& it) { return m_services.targets.find(it.first) == nullptr; });
    }
    for (auto& [name, state] : m_states)
    {
        if (!schedules(name, now))
        {
            continue;
        }
        if (evaluate)
        {
            evaluate_outliers(name, state, now);
            state.performance.retain(m_services.targets);
        }
        release(name, state, now);
    }
}

double request_scheduler::load_of(const target& it, time_point now) const
{
    const auto known_here = it.load(now);
    if (!m_exchange.fresh(now))
    {
        return known_here;
    }
    const auto* const external = m_exchange.find(it.record.instance(), now);
    return std::max(known_here,
                    static_cast<double>(it.in_flight + (external != nullptr ? external->in_flight : 0)));
}

void request_scheduler::decaying_rate::record(time_point now)
{
    m_per_second = per_second(now) + 1;
    m_updated = now;
}

double request_scheduler::decaying_rate::per_second(time_point now) const
{
    return m_per_second * std::exp(-real_seconds{now - m_updated}.count());
}

duration request_scheduler::typical_duration(const service_profile& profile, const service_state& state)
{
    return or_default(profile.first_event, default_first_event) +
           scaled(or_default(profile.output_token, default_output_token), state.typical_output);
}

placement_costs request_scheduler::costs_of(const service_state& state) const
{
    const auto profile = state.performance.profile();
    return {.first_event =
                state.has_engines ? or_default(profile.first_event, default_first_event) : duration::zero(),
            .prefill_token = prefill_token_time,
            .output_token = or_default(profile.output_token, default_output_token),
            .response = state.has_engines ? duration::zero() : or_default(profile.response, default_response),
            .cross_domain = cross_domain_time,
            .typical_duration = state.has_engines ? typical_duration(profile, state) : duration::zero()};
}

placement_request request_scheduler::placement_of(const scheduled_request& request,
                                                  const service_state& state) const
{
    const auto& generation = request.request.generation;
    if (!generation || !state.has_engines)
    {
        return {};
    }
    const auto& parts = generation->prompt;
    const auto shared =
        std::transform_reduce(parts.begin(), parts.empty() ? parts.end() : std::prev(parts.end()),
                              token_count{0}, std::plus<>{}, std::mem_fn(&prompt_part::tokens));
    return {.prompt_tokens = generation->prompt_tokens,
            .expected_output = state.performance.expected_output(
                request.matched_route.name, generation->output_hint, generation->max_output),
            .shared_tokens = parts.empty() ? std::nullopt : std::optional{shared}};
}

std::vector<target_estimate> request_scheduler::estimates_of(const scheduled_request& request,
                                                             std::span<const target* const> candidates,
                                                             const service_state& state, time_point now) const
{
    const auto& generation = request.request.generation;
    const auto cached = generation ? m_prompts.find(generation->prompt, now) : cached_prefixes{};
    std::vector<target_estimate> estimates;
    estimates.reserve(candidates.size());
    for (const auto* const it : candidates)
    {
        const auto instance = it->record.instance();
        estimates.push_back({.entry = it,
                             .load = load_of(*it, now),
                             .time_factor = state.performance.time_factor(instance, now),
                             .cached_tokens = cached.at(instance)});
    }
    return estimates;
}

std::vector<const target*> request_scheduler::preferred_targets(std::span<const target* const> candidates,
                                                                const selection_criteria& criteria,
                                                                const service_state& state, time_point now)
{
    const auto is_untried = [&](const target* it)
    { return std::ranges::find(criteria.tried, it->record.id) == criteria.tried.end(); };
    const auto is_usable = [&](const target* it)
    { return it->backoff_until <= now && !state.outliers.ejected(it->record.instance(), now); };
    std::vector<const target*> untried;
    std::ranges::copy_if(candidates, std::back_inserter(untried), is_untried);
    std::vector<const target*> usable;
    std::ranges::copy_if(untried, std::back_inserter(usable), is_usable);
    return usable.empty() ? untried : usable;
}

const target* request_scheduler::choose(const scheduled_request& request,
                                        std::span<const target* const> candidates,
                                        const selection_criteria& criteria, time_point now)
{
    auto* const state = find(request.service);
    const bool may_probe = request.matched_route.repeatable() || !state->has_repeatable_routes;
    if (may_probe && criteria.tried.empty() && state->outliers.ejected_count() > 0)
    {
        const auto wants_probe = [&](const target* it)
        { return state->outliers.wants_probe(it->record.instance(), now); };
        if (const auto it = std::ranges::find_if(candidates, wants_probe); it != candidates.end())
        {
            return *it;
        }
    }
    auto placement = placement_of(request, *state);
    placement.affinity = criteria.affinity;
    placement.chooser = criteria.chooser;
    placement.preferred_domain = criteria.preferred_domain;
    if (m_exchange.fresh(now))
    {
        const auto others = m_exchange.gateways(now) - 1;
        placement.view_age = m_exchange.age(now);
        placement.unseen_requests =
            others * state->sent.per_second(now) * real_seconds{placement.view_age}.count();
    }
    const auto preferred = preferred_targets(candidates, criteria, *state, now);
    const auto estimates = estimates_of(request, preferred, *state, now);
    const auto placed = choose_by_finish(estimates, placement, costs_of(*state));
    return placed ? placed->entry : nullptr;
}

const service_room& request_scheduler::recent_room(const service_name& name, service_state& state,
                                                   time_point now) const
{
    if (!state.room || now - state.room_updated >= room_lifetime)
    {
        state.room = room_of(name, state, now);
        state.room_updated = now;
    }
    return *state.room;
}

service_room request_scheduler::room_of(const service_name& name, const service_state& state,
                                        time_point now) const
{
    const auto costs = costs_of(state);
    service_room room{.others_waiting = m_exchange.others_waiting(name, now),
                      .typical_duration = costs.typical_duration};
    for (const auto* it : m_services.targets.candidates(name))
    {
        if (it->backoff_until > now || state.outliers.ejected(it->record.instance(), now))
        {
            continue;
        }
        room.slots += it->record.slots;
        room.free += std::max(0.0, it->record.slots * (1 + extra_requests) - load_of(*it, now));
    }
    return room;
}

admission_request request_scheduler::admission_of(const scheduled_request& request,
                                                  const service_state& state, time_point now) const
{
    const auto& source = request.request;
    const auto& program = source.program;
    const auto* const workspace = m_config->workspaces.find(source.workspace);
    const bool is_main_line = program && program->session == program->program.value;
    const auto costs = costs_of(state);
    const auto placement = placement_of(request, state);
    const bool has_priority = workspace != nullptr && workspace->priority;
    return {.workspace = source.workspace,
            .priority = has_priority ? *workspace->priority : request.matched_route.priority,
            .under_way = !is_main_line || program->previous_turn || m_programs.contains(program->program),
            .expected_duration = costs.first_event + costs.output_token * placement.expected_output,
            .program_deadline =
                program && program->time_left ? std::optional{now + *program->time_left} : std::nullopt,
            .deadline = request.deadline};
}

admission_result request_scheduler::admit(const scheduled_request& request, admission_callback on_release)
{
    auto* const state = find(request.service);
    if (state == nullptr || !state->admission || !state->has_engines)
    {
        return admitted{};
    }
    const auto now = m_services.clock();
    const auto& room = recent_room(request.service, *state, now);
    auto decision = state->admission->request(admission_of(request, *state, now), room, now);
    if (const auto* const held = std::get_if<held_back>(&decision))
    {
        log_room(event_id::request_held_back, request, room, now);
        count_decision("held_back");
        state->held.emplace(held->ticket, held_entry{std::move(on_release), now});
        return held_request{request.service, held->ticket};
    }
    if (auto* const refusal = std::get_if<not_admitted>(&decision))
    {
        log_room(event_id::overload_refused, request, room, now);
        count_decision("refused");
        return std::move(*refusal);
    }
    count_decision("admitted");
    state->room->free -= 1;
    return admitted{};
}

void request_scheduler::count_decision(const char* decision) const
{
    m_services.metrics
        .get_counter("masticcourse_admission_decisions_total",
                     "Requests under admission control by decision.", {{"decision", decision}})
        .add();
}

void request_scheduler::log_room(event_id event, const scheduled_request& request, const service_room& room,
                                 time_point now) const
{
    const auto* const state = find(request.service);
    const auto view_age = std::chrono::floor<milliseconds>(m_exchange.age(now));
    log_event(event, {{"request", request.request.id.value},
                      {"workspace", request.request.workspace.value},
                      {"service", request.service.value},
                      {"slots", std::to_string(room.slots)},
                      {"free", std::to_string(room.free)},
                      {"waiting", std::to_string(state->admission->waiting())},
                      {"others_waiting", std::to_string(room.others_waiting)},
                      {"view_age_ms", m_exchange.fresh(now) ? std::to_string(view_age.count()) : "-"}});
}

void request_scheduler::cancel(const held_request& request)
{
    if (auto* const state = find(request.service); state != nullptr && state->held.erase(request.ticket) > 0)
    {
        state->admission->cancel(request.ticket);
    }
}

void request_scheduler::finish_held(service_state& state, admission_ticket ticket,
                                    const std::optional<not_admitted>& refusal)
{
    const auto node = state.held.extract(ticket);
    if (node.empty())
    {
        return;
    }
    m_services.metrics
        .get_histogram("masticcourse_admission_wait_seconds", "Time for which requests were held back.",
                       {{"end", refusal ? "refused" : "sent"}})
        .record(m_services.clock() - node.mapped().since);
    node.mapped().on_release(refusal);
}

void request_scheduler::release(const service_name& name, service_state& state, time_point now)
{
    if (!state.admission || state.held.empty())
    {
        return;
    }
    recent_room(name, state, now);
    auto& room = *state.room;
    for (const auto& it : state.admission->expire(room, now))
    {
        finish_held(state, it.ticket, it.refusal);
    }
    while (const auto ticket = state.admission->next(room, now))
    {
        room.free -= 1;
        finish_held(state, *ticket, std::nullopt);
    }
}

} // namespace masticcourse::gateway
