#include "sim_target.hpp"

#include <algorithm>
#include <limits>
#include <ranges>
#include <utility>
#include <variant>

namespace masticcourse::bench
{

namespace
{

constexpr engine_limits no_limits{.max_running = std::numeric_limits<std::uint32_t>::max(),
                                  .max_tokens = std::numeric_limits<token_count>::max() / 2,
                                  .max_prefill_tokens = std::numeric_limits<token_count>::max() / 2};

standins::engine_options engine_of(const system_options& system)
{
    return {.cache_capacity = system.cache_capacity};
}

std::string stream_name(const call_ref& call)
{
    return call.program.value + "/" + call.key.value;
}

} // namespace

sim_target::sim_target(const system_options& system)
    : m_system(system), m_engine(engine_of(system)), m_queue(system.order),
      m_admission(system.admission.value_or(no_limits)),
      m_meter(engine_speed{}, engine_of(system).max_running)
{
}

void sim_target::submit(submitted_call call, core_time now)
{
    m_queue.push(call.waiting);
    m_waiting.emplace(call.waiting.call, std::move(call));
    pump(now);
}

std::vector<completed_call> sim_target::advance(core_time now)
{
    std::vector<completed_call> completed;
    for (const auto& event : m_engine.advance(now))
    {
        if (const auto* token = std::get_if<standins::token_event>(&event))
        {
            on_event(*token);
        }
        else
        {
            on_event(std::get<standins::finished_event>(event), completed);
        }
    }
    pump(now);
    return completed;
}

std::optional<core_time> sim_target::next_event() const
{
    return m_engine.next_event_time();
}

target_load sim_target::load() const
{
    target_load load = make_load_report(m_queue, m_admission, m_meter);
    load.cache_capacity = m_engine.load().cache_capacity;
    load.cache_used = m_engine.load().cache_used;
    return load;
}

std::map<program_id, token_count> sim_target::held() const
{
    std::map<program_id, token_count> held;
    for (const auto& it : m_engine.cached_programs())
    {
        held.emplace(it.program, it.tokens);
    }
    return held;
}

target_cache sim_target::cache_events()
{
    auto held_now = held();
    target_cache events;
    for (const auto& [program, tokens] : m_held)
    {
        const auto it = held_now.find(program);
        if (it == held_now.end())
        {
            events.dropped.push_back(program);
        }
        else if (it->second < tokens)
        {
            events.held.push_back({program, it->second});
        }
    }
    m_held = std::move(held_now);
    return events;
}

void sim_target::retain(const std::vector<pause_hint>& hints)
{
    const auto load = m_engine.load();
    const auto held_now = held();
    std::vector<paused_prefix> paused;
    for (const auto& hint : hints)
    {
        const auto it = held_now.find(hint.program);
        if (it != held_now.end())
        {
            paused.push_back({hint.program, it->second, hint.expected_rest});
        }
    }
    const engine_cache_state memory{.capacity = load.cache_capacity,
                                    .used = load.cache_used,
                                    .prefill_rate = m_meter.speed().prefill_rate};
    for (const auto& it : plan_retention(paused, memory, *m_system.retention))
    {
        release(it.program);
    }
}

void sim_target::release(const program_id& program)
{
    m_engine.free_program(program);
}

std::string sim_target::export_prefix(const program_id& program) const
{
    return m_engine.export_prefix(program);
}

void sim_target::import_prefix(const program_id& program, const std::string& bytes, core_time now)
{
    m_engine.import_prefix(program, bytes, now);
}

std::vector<call_ref> sim_target::die()
{
    std::vector<call_ref> lost;
    std::ranges::copy(m_waiting | std::views::keys, std::back_inserter(lost));
    for (const auto& call : m_running | std::views::values)
    {
        lost.push_back(call.waiting.call);
    }
    m_engine = standins::engine_model{engine_of(m_system)};
    m_queue = target_queue{m_system.order};
    m_admission = engine_admission{m_system.admission.value_or(no_limits)};
    m_waiting.clear();
    m_running.clear();
    m_held.clear();
    return lost;
}

void sim_target::set_slowdown(double factor)
{
    m_engine.set_slowdown(factor);
}

void sim_target::pump(core_time now)
{
    while (const auto* next = m_queue.peek(now))
    {
        if (!m_admission.admits(*next))
        {
            return;
        }
        hand_over(*m_queue.pop(now), now);
    }
}

void sim_target::hand_over(const waiting_call& call, core_time now)
{
    auto node = m_waiting.extract(call.call);
    const std::string name = stream_name(call.call);
    m_admission.on_started(call);
    m_running.emplace(name, running_call{call, now, {}, {}});
    m_engine.start({.stream = {name},
                    .program = call.call.program,
                    .prompt = std::move(node.mapped().prompt),
                    .max_tokens = call.max_tokens,
                    .answer_tokens = node.mapped().answer},
                   now);
}

void sim_target::on_event(const standins::token_event& event)
{
    auto& call = m_running.at(event.stream.value);
    call.answer += event.text;
    if (event.index == 0)
    {
        call.first_token = event.at;
        m_admission.on_prefilled(call.waiting.call);
        const token_count computed = call.waiting.prompt_tokens - call.waiting.expected_cached;
        m_meter.on_prefill(computed, event.at - std::max(call.started, m_prefill_free));
        m_prefill_free = event.at;
    }
}

void sim_target::on_event(const standins::finished_event& event, std::vector<completed_call>& completed)
{
    auto node = m_running.extract(event.stream.value);
    const auto& call = node.mapped();
    m_admission.on_finished(call.waiting.call);
    const core_duration decode = call.first_token ? event.at - *call.first_token : core_duration{};
    m_meter.on_decode(event.usage.completion - 1, decode, call.waiting.max_tokens);
    completed.push_back({call.waiting.call, event.usage, call.answer});
}

} // namespace masticcourse::bench
