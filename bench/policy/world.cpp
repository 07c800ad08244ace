#include "world.hpp"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <utility>

namespace masticcourse::bench
{

namespace
{

using std::chrono::milliseconds;

constexpr core_duration one_way = std::chrono::microseconds{500};
constexpr core_duration client_one_way = milliseconds{1};
constexpr core_duration report_period = milliseconds{250};
constexpr core_duration report_lag = milliseconds{100};
constexpr core_duration cache_period = milliseconds{500};
constexpr core_duration cache_lag = milliseconds{300};
constexpr double cache_loss = 0.1;
constexpr core_duration renewal_period = milliseconds{500};
/// When two-way heartbeats have told that a peer is gone.
constexpr core_duration loss_noticed = milliseconds{1500};
constexpr core_duration quick_error = milliseconds{20};
constexpr double error_rate = 0.8;
constexpr double slow_factor = 10;
constexpr core_duration tool_timeout = std::chrono::seconds{30};
constexpr unsigned most_attempts = 6;
/// How long a caller comes back with a program that is refused before giving up.
constexpr core_duration patience = std::chrono::seconds{30};
constexpr core_duration given_up_wait = std::chrono::seconds{5};
constexpr std::size_t slow_target = 4;

std::string words(const std::string& name, token_count count)
{
    std::string text = name;
    text.reserve(name.size() + 2 * static_cast<std::size_t>(count));
    for (token_count n = 1; n < count; ++n)
    {
        text += " a";
    }
    return text;
}

} // namespace

world::world(const system_options& system, const std::vector<program_plan>& plans, const run_options& options)
    : m_system(system), m_options(options), m_random(options.seed)
{
    for (std::size_t n = 0; n < plans.size(); ++n)
    {
        m_programs.push_back({.plan = &plans[n], .home = n % options.homes});
        m_by_id.emplace(plans[n].id, n);
        if (!plans[n].is_child)
        {
            m_time.at(plans[n].arrival, [this, n] { begin(n); });
        }
    }
    for (std::size_t n = 0; n < options.targets; ++n)
    {
        m_targets.push_back({.target = sim_target{system}, .sent_in_vain = {}});
        // Processes don't start in step.
        const core_duration phase = report_period * static_cast<int>(n) / static_cast<int>(options.targets);
        m_time.after(phase, [this, n] { send_reports(n); });
        m_time.after(phase, [this, n] { send_cache_events(n); });
        m_time.after(phase, [this, n] { retain(n); });
    }
    for (std::size_t n = 0; n < options.homes; ++n)
    {
        m_homes.emplace_back(system, options.targets, domain_of(n));
        m_hedges.emplace_back();
    }
    for (std::size_t n = 0; n < options.targets; ++n)
    {
        set_connected(n, true);
    }
    plan_fault();
}

run_record world::run()
{
    const core_time end = core_time{} + m_options.arrivals + m_options.drain;
    const auto open = [this]
    { return std::ranges::any_of(m_programs, [](const auto& p) { return !p.ended && !p.plan->is_child; }); };
    std::size_t steps = 0;
    constexpr std::size_t steps_between_looks = 4096;
    while (m_time.step(end))
    {
        ++steps;
        if (steps % steps_between_looks == 0 && !open())
        {
            break;
        }
    }
    for (std::size_t n = 0; n < m_programs.size(); ++n)
    {
        if (!m_programs[n].ended && !m_programs[n].plan->is_child)
        {
            this->end(n, false);
        }
    }
    m_record.recomputed = m_waste.recomputed();
    m_record.unused = m_waste.unused();
    m_record.arrivals = m_options.arrivals;
    m_record.targets = m_options.targets;
    return std::move(m_record);
}

// Callers

void world::begin(std::size_t program)
{
    auto& p = m_programs[program];
    p.began = m_time.now();
    ask(program);
}

void world::ask(std::size_t program)
{
    auto& p = m_programs[program];
    const auto& turn = p.plan->turns[p.next_turn];
    const std::string name = p.plan->id.value + ":" + std::to_string(p.next_turn);
    p.history.push_back(words(name, turn.input));
    p.history_tokens += turn.input;
    p.asked = m_time.now();
    p.attempts = 0;
    m_time.after(client_one_way, [this, program] { dispatch(program); });
}

void world::pause(std::size_t program)
{
    auto& p = m_programs[program];
    const auto& turn = p.plan->turns[p.next_turn];
    ++p.next_turn;
    if (p.next_turn == p.plan->turns.size())
    {
        end(program, true);
        return;
    }
    p.pausing = true;
    p.pause_over = false;
    p.paused_since = m_time.now();
    p.paused_by = turn.pause.tool;
    p.children_left = turn.children.size();
    std::ranges::for_each(turn.children, [&](std::size_t child) { m_programs[child].parent = program; });
    fork(program);
    m_time.after(tool_time(p, turn.pause),
                 [this, program]
                 {
                     m_programs[program].pause_over = true;
                     resume_if_ready(program);
                 });
}

core_duration world::tool_time(program_state& p, const pause_plan& plan)
{
    auto& hedges = m_hedges[p.home];
    hedges.record_request();
    const core_duration first = plan.hung ? tool_timeout : plan.length;
    const auto delay =
        m_system.hedge && plan.tool.value != "caller" ? hedges.delay(plan.idempotent) : std::nullopt;
    core_duration took = first;
    if (delay && first > *delay && hedges.try_hedge())
    {
        took = std::min(first, *delay + plan.second_length);
    }
    if (plan.tool.value != "caller")
    {
        hedges.record_latency(took);
    }
    return took;
}

void world::fork(std::size_t program)
{
    const auto& p = m_programs[program];
    for (const std::size_t child : p.plan->turns[p.next_turn - 1].children)
    {
        auto& c = m_programs[child];
        c.home = p.home;
        c.history = p.history;
        c.history_tokens = p.history_tokens;
        c.attained = p.attained;
        begin(child);
    }
}

void world::resume_if_ready(std::size_t program)
{
    auto& p = m_programs[program];
    if (p.ended || !p.pausing || !p.pause_over || p.children_left > 0)
    {
        return;
    }
    p.pausing = false;
    m_homes[p.home].pauses().record(p.paused_by, m_time.now() - p.paused_since);
    ask(program);
}

void world::end(std::size_t program, bool finished)
{
    auto& p = m_programs[program];
    p.ended = true;
    m_homes[p.home].on_program_end(p.plan->id);
    m_waste.on_end(p.plan->id);
    for (auto& it : m_targets)
    {
        it.target.release(p.plan->id);
    }
    p.history.clear();
    if (p.parent)
    {
        --m_programs[*p.parent].children_left;
        resume_if_ready(*p.parent);
        return;
    }
    const core_time last = finished ? m_time.now() : core_time{} + m_options.arrivals + m_options.drain;
    m_record.programs.push_back({p.plan, last - p.plan->arrival, finished});
}

void world::come_back(std::size_t program, core_duration wait)
{
    auto& p = m_programs[program];
    ++m_record.refusals;
    if (p.next_turn == 0 && !p.parent && m_time.now() - p.began > patience)
    {
        end(program, false);
        return;
    }
    const double jitter = std::uniform_real_distribution<double>{1, 1.5}(m_random);
    const core_duration later{static_cast<core_duration::rep>(static_cast<double>(wait.count()) * jitter)};
    m_time.after(later + 2 * client_one_way, [this, program] { dispatch(program); });
}

// Homes

home_query world::query_for(const program_state& p) const
{
    const auto& turn = p.plan->turns[p.next_turn];
    return {.program = p.plan->id,
            .parent = p.parent ? m_programs[*p.parent].plan->id : program_id{},
            .prompt_tokens = p.history_tokens,
            .expected_completion = turn.max_tokens / 2,
            .priority = p.plan->priority,
            .first_turn = p.next_turn == 0 && !p.parent,
            .last = p.last};
}

void world::dispatch(std::size_t program)
{
    auto& p = m_programs[program];
    auto& home = m_homes[p.home];
    const home_query query = query_for(p);
    if (const auto wait = home.refuse(query, m_time.now()))
    {
        come_back(program, *wait);
        return;
    }
    const auto choice = home.place(query, m_time.now());
    if (!choice)
    {
        come_back(program, given_up_wait);
        return;
    }
    home.retries().record_request();
    send(program, query, *choice);
}

void world::send(std::size_t program, const home_query& query, const placement_choice& choice)
{
    auto& p = m_programs[program];
    auto& home = m_homes[p.home];
    const auto& turn = p.plan->turns[p.next_turn];
    core_duration delay = one_way;
    token_count cached = home.believed_at(query, choice.target);
    if (choice.transfer_prefix_from)
    {
        const auto& policy = std::get<earliest_finish>(m_system.placement.policy);
        const token_count moved = home.believed_at(query, *choice.transfer_prefix_from);
        const std::chrono::duration<double> transfer{static_cast<double>(moved) / policy.transfer_rate};
        delay += std::chrono::duration_cast<core_duration>(transfer) + policy.transfer_overhead;
        cached = moved;
        const program_id owner = p.last ? query.program : query.parent;
        const std::string bytes = m_targets[*choice.transfer_prefix_from].target.export_prefix(owner);
        m_time.after(delay, [this, bytes, owner = query.program, to = choice.target]
                     { m_targets[to].target.import_prefix(owner, bytes, m_time.now()); });
    }
    submitted_call call;
    call.waiting = {.call = {query.program, {std::to_string(p.next_turn)}},
                    .workspace = p.plan->workspace,
                    .priority = p.plan->priority,
                    .attained = p.attained,
                    .prompt_tokens = p.history_tokens,
                    .expected_cached = cached,
                    .max_tokens = turn.max_tokens,
                    .deadline = p.plan->deadline,
                    .first_turn = query.first_turn,
                    .parent = query.parent};
    call.prompt = p.history;
    call.answer = turn.answer;
    home.on_sent(choice.target, call.waiting.call, p.history_tokens - cached, turn.max_tokens / 2,
                 m_time.now());
    p.last = choice.target;
    ++p.attempts;
    m_time.after(delay, [this, program, target = choice.target, call = std::move(call)]() mutable
                 { arrive(target, program, std::move(call)); });
}

void world::on_finished(std::size_t target, const completed_call& done)
{
    const std::size_t program = m_by_id.at(done.call.program);
    auto& p = m_programs[program];
    const token_count known = p.history_tokens - p.plan->turns[p.next_turn].input;
    m_waste.on_call(done.call.program, target, done.usage, known);
    m_record.computed += done.usage.prompt - done.usage.cached;
    m_record.reused += done.usage.cached;
    m_time.after(one_way,
                 [this, target, program, done]
                 {
                     auto& state = m_programs[program];
                     m_homes[state.home].on_finished(target, done.call, done.usage.charged(), m_time.now());
                     state.history.push_back(done.answer);
                     state.history_tokens += done.usage.completion;
                     state.attained += done.usage.prompt - done.usage.cached + done.usage.completion;
                     m_record.calls.push_back({m_time.now(), m_time.now() - state.asked});
                     m_time.after(client_one_way, [this, program] { pause(program); });
                 });
}

void world::on_failed(std::size_t target, const call_ref& call)
{
    const std::size_t program = m_by_id.at(call.program);
    auto& p = m_programs[program];
    auto& home = m_homes[p.home];
    home.on_failed(target, call, m_time.now());
    const bool may_retry =
        p.attempts < most_attempts && (!m_system.retry_budget || home.retries().try_retry());
    if (!may_retry)
    {
        ++m_record.given_up;
        p.attempts = 0;
        come_back(program, given_up_wait);
        return;
    }
    ++m_record.retries;
    const core_duration wait = backoff_delay({}, p.attempts, m_random);
    m_time.after(wait,
                 [this, program]
                 {
                     const auto query = query_for(m_programs[program]);
                     const auto choice = m_homes[m_programs[program].home].place(query, m_time.now());
                     if (!choice)
                     {
                         come_back(program, given_up_wait);
                         return;
                     }
                     send(program, query, *choice);
                 });
}

void world::retain(std::size_t target)
{
    m_time.after(renewal_period, [this, target] { retain(target); });
    if (!m_system.retention || !m_targets[target].alive)
    {
        return;
    }
    std::vector<pause_hint> hints;
    for (const auto& p : m_programs)
    {
        if (p.pausing && !p.ended && p.last == target)
        {
            const auto rest =
                m_homes[p.home].pauses().expected_remaining(p.paused_by, m_time.now() - p.paused_since);
            hints.push_back({p.plan->id, rest});
        }
    }
    m_targets[target].target.retain(hints);
}

// Targets

void world::arrive(std::size_t target, std::size_t program, submitted_call call)
{
    auto& it = m_targets[target];
    const call_ref ref = call.waiting.call;
    if (!it.alive)
    {
        it.sent_in_vain.push_back(ref);
        return;
    }
    if (it.leaving || (it.failing && chance(error_rate)))
    {
        m_time.after(it.leaving ? one_way : quick_error, [this, target, ref] { on_failed(target, ref); });
        return;
    }
    call.waiting.arrived = m_time.now();
    static_cast<void>(program);
    it.target.submit(std::move(call), m_time.now());
    wake(target);
}

void world::wake(std::size_t target)
{
    auto& it = m_targets[target];
    const auto next = it.target.next_event();
    if (it.scheduled || !next)
    {
        return;
    }
    it.scheduled = true;
    m_time.at(*next, [this, target] { run_target(target); });
}

void world::run_target(std::size_t target)
{
    auto& it = m_targets[target];
    it.scheduled = false;
    for (const auto& done : it.target.advance(m_time.now()))
    {
        on_finished(target, done);
    }
    wake(target);
}

void world::send_reports(std::size_t target)
{
    m_time.after(report_period, [this, target] { send_reports(target); });
    if (m_silent || !m_targets[target].alive)
    {
        return;
    }
    const target_load load = m_targets[target].target.load();
    m_time.after(
        report_lag, [this, target, load]
        { std::ranges::for_each(m_homes, [&](auto& home) { home.on_report(target, load, m_time.now()); }); });
}

void world::send_cache_events(std::size_t target)
{
    m_time.after(cache_period, [this, target] { send_cache_events(target); });
    const target_cache events = m_targets[target].target.cache_events();
    if (m_silent || chance(cache_loss))
    {
        return;
    }
    m_time.after(cache_lag, [this, target, events]
                 { std::ranges::for_each(m_homes, [&](auto& home) { home.on_cache(target, events); }); });
}

// Faults

void world::plan_fault()
{
    if (m_options.fault.kind == fault_kind::none)
    {
        return;
    }
    m_time.at(m_options.fault.begins, [this] { begin_fault(); });
    m_time.at(m_options.fault.ends, [this] { end_fault(); });
}

std::vector<std::size_t> world::struck() const
{
    if (m_options.fault.kind != fault_kind::domain)
    {
        return {slow_target % m_options.targets};
    }
    std::vector<std::size_t> all;
    for (std::size_t n = 1; n < m_options.targets; n += m_options.domains)
    {
        all.push_back(n);
    }
    return all;
}

void world::begin_fault()
{
    const fault_kind kind = m_options.fault.kind;
    m_silent = kind == fault_kind::silence;
    for (const std::size_t n : struck())
    {
        auto& it = m_targets[n];
        it.leaving = kind == fault_kind::leaves;
        it.failing = kind == fault_kind::errors;
        if (kind == fault_kind::slow)
        {
            it.target.set_slowdown(slow_factor);
        }
        if (kind == fault_kind::dies || kind == fault_kind::domain)
        {
            kill(n);
        }
        if (it.leaving)
        {
            set_connected(n, false);
        }
    }
}

void world::end_fault()
{
    m_silent = false;
    for (const std::size_t n : struck())
    {
        auto& it = m_targets[n];
        it.alive = true;
        it.leaving = false;
        it.failing = false;
        it.target.set_slowdown(1);
        set_connected(n, true);
    }
}

void world::kill(std::size_t target)
{
    auto& it = m_targets[target];
    it.alive = false;
    it.sent_in_vain = it.target.die();
    m_time.after(loss_noticed,
                 [this, target]
                 {
                     set_connected(target, false);
                     const auto lost = std::exchange(m_targets[target].sent_in_vain, {});
                     std::ranges::for_each(lost, [&](const call_ref& call) { on_failed(target, call); });
                 });
}

void world::set_connected(std::size_t target, bool connected)
{
    std::ranges::for_each(m_homes,
                          [&](auto& home) { home.set_connected(target, connected, domain_of(target)); });
}

failure_domain_name world::domain_of(std::size_t target) const
{
    return {"domain-" + std::to_string(target % m_options.domains)};
}

bool world::chance(double part)
{
    return std::bernoulli_distribution{part}(m_random);
}

} // namespace masticcourse::bench
