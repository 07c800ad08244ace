#include "support/admission_rig.hpp"

#include "support/test_seed.hpp"

#include <algorithm>
#include <cmath>
#include <variant>

namespace masticcourse::testing
{

using namespace gateway;
using namespace std::chrono_literals;

namespace
{

constexpr milliseconds typical_turn = 400ms;
constexpr milliseconds tool_call = 100ms;
constexpr milliseconds caller_timeout = 3s;
/// A target's own queue, relative to its slots.
constexpr std::size_t service_queue_per_slot = 3;
constexpr int max_failures = 3;

} // namespace

admission_rig::admission_rig(const admission_rig_options& options)
    : sent(options.gateways), m_options(options), m_nodes(options.gateways), m_random(test_seed().value)
{
    for (std::size_t n = 0; n < m_nodes.size(); ++n)
    {
        const auto seed = derive_seed(test_seed(), std::to_string(n));
        m_nodes[n].control = std::make_unique<admission_control>(admission_options{}, seed);
        time.delays()(milliseconds{static_cast<int>(uniform(0, 200))}, [this, n] { exchange(n); });
    }
}

void admission_rig::offer(const program_source& source, seconds span)
{
    std::exponential_distribution<double> gap{source.per_second};
    for (double due = gap(m_random); due < static_cast<double>(span.count()); due += gap(m_random))
    {
        time.delays()(milliseconds{static_cast<int>(due * 1'000)}, [this, source] { start_program(source); });
    }
}

void admission_rig::kill(std::size_t gateway)
{
    auto& it = m_nodes[gateway];
    it.dead = true;
    for (const auto& job : it.jobs)
    {
        job->abandoned = true;
        m_running -= job->running ? 1 : 0;
        fail_turn(job->owner);
    }
    it.jobs.clear();
    start_queued();
}

void admission_rig::freeze(std::size_t gateway, milliseconds span)
{
    m_nodes[gateway].frozen_until = time.now() + span;
}

std::size_t admission_rig::waiting(std::size_t gateway) const
{
    return m_nodes[gateway].control->waiting();
}

void admission_rig::start_program(const program_source& source)
{
    auto it = std::make_shared<program>();
    it->source = source;
    milliseconds total{};
    for (auto turns = std::lround(uniform(1.5, 6.5)); turns > 0; --turns)
    {
        it->turns.emplace_back(static_cast<int>(uniform(0.6, 1.4) * typical_turn.count()));
        total += it->turns.back() + tool_call;
    }
    it->deadline = time.now() + total * 5 / 4 + 300ms;
    ++outcomes[source.workspace].started;
    send_turn(it);
}

void admission_rig::send_turn(const program_ptr& it)
{
    auto target = static_cast<std::size_t>(uniform(0, static_cast<double>(m_nodes.size())));
    while (m_nodes[target].dead)
    {
        target = (target + 1) % m_nodes.size();
    }
    const auto made = std::make_shared<attempt>(
        attempt{.gateway = target, .owner = it, .caller_leaves = time.now() + caller_timeout});
    m_nodes[target].jobs.push_back(made);
    at(target, [this, made] { receive(made); });
}

void admission_rig::receive(const attempt_ptr& it)
{
    auto& node = m_nodes[it->gateway];
    if (!m_options.admission)
    {
        submit(it);
        return;
    }
    if (!it->owner->retried)
    {
        node.control->record_turn(it->owner->next_turn == 0);
    }
    const auto decision = node.control->request(request_of(*it), room(node), time.now());
    if (const auto* ticket = std::get_if<held_back>(&decision))
    {
        node.held.emplace(ticket->ticket, it);
    }
    else if (const auto* refusal = std::get_if<not_admitted>(&decision))
    {
        std::erase(node.jobs, it);
        refused(it->owner, refusal->retry_after);
    }
    else
    {
        submit(it);
    }
    pump(it->gateway);
}

void admission_rig::refused(const program_ptr& it, milliseconds retry_after)
{
    retry_delays.push_back(retry_after);
    if (it->retried || retry_after > (it->deadline - time.now()) / 3)
    {
        fail_turn(it);
        return;
    }
    it->retried = true;
    time.delays()(retry_after, [this, it] { send_turn(it); });
}

void admission_rig::fail_turn(const program_ptr& it)
{
    it->retried = false;
    if (++it->failures < max_failures)
    {
        time.delays()(milliseconds{static_cast<int>(uniform(100, 400))}, [this, it] { send_turn(it); });
        return;
    }
    ++outcomes[it->source.workspace].lost;
    outcomes[it->source.workspace].lost_midway += it->next_turn > 0 ? 1 : 0;
}

void admission_rig::turn_done(const program_ptr& it)
{
    it->failures = 0;
    it->retried = false;
    if (++it->next_turn < it->turns.size())
    {
        time.delays()(tool_call, [this, it] { send_turn(it); });
        return;
    }
    auto& result = outcomes[it->source.workspace];
    ++(time.now() <= it->deadline ? result.in_time : result.late);
}

void admission_rig::submit(const attempt_ptr& it)
{
    ++sent[it->gateway];
    stale += it->caller_leaves < time.now() ? 1 : 0;
    if (m_running < m_options.slots)
    {
        start(it);
    }
    else if (m_queue.size() < m_options.slots * service_queue_per_slot)
    {
        m_queue.push_back(it);
        overshoot = std::max(overshoot, static_cast<std::uint32_t>(m_queue.size()));
    }
    else
    {
        m_nodes[it->gateway].control->completed(time.now());
        std::erase(m_nodes[it->gateway].jobs, it);
        refused(it->owner, 200ms);
    }
}

void admission_rig::start(const attempt_ptr& it)
{
    ++m_running;
    it->running = true;
    time.delays()(it->owner->turns[it->owner->next_turn], [this, it] { finish(it); });
}

void admission_rig::finish(const attempt_ptr& it)
{
    if (it->abandoned)
    {
        return;
    }
    --m_running;
    it->running = false;
    start_queued();
    const bool in_time = it->caller_leaves >= time.now();
    in_time ? turn_done(it->owner) : fail_turn(it->owner);
    at(it->gateway,
       [this, it]
       {
           auto& node = m_nodes[it->gateway];
           std::erase(node.jobs, it);
           node.control->completed(time.now());
           pump(it->gateway);
       });
}

void admission_rig::start_queued()
{
    while (m_running < m_options.slots && !m_queue.empty())
    {
        const auto it = m_queue.front();
        m_queue.pop_front();
        if (!it->abandoned)
        {
            start(it);
        }
    }
}

void admission_rig::pump(std::size_t gateway)
{
    auto& node = m_nodes[gateway];
    for (const auto& it : node.control->expire(room(node), time.now()))
    {
        const auto job = node.held.extract(it.ticket).mapped();
        std::erase(node.jobs, job);
        refused(job->owner, it.refusal.retry_after);
    }
    while (const auto ticket = node.control->next(room(node), time.now()))
    {
        submit(node.held.extract(*ticket).mapped());
    }
}

void admission_rig::exchange(std::size_t gateway)
{
    at(gateway,
       [this, gateway]
       {
           auto& node = m_nodes[gateway];
           const auto waiting = node.control->waiting();
           node.last = {static_cast<std::uint32_t>(node.jobs.size() - node.held.size()), waiting, time.now()};
           digest sum;
           for (const auto& it : m_nodes)
           {
               if (&it != &node && it.last.sent_at + 3 * m_options.view_interval >= time.now())
               {
                   sum.in_flight += it.last.in_flight;
                   sum.waiting += it.last.waiting;
               }
           }
           time.delays()(m_options.view_delay,
                         [this, gateway, sum]
                         {
                             at(gateway,
                                [this, gateway, sum]
                                {
                                    m_nodes[gateway].others = sum;
                                    pump(gateway);
                                });
                         });
           time.delays()(m_options.view_interval, [this, gateway] { exchange(gateway); });
       });
}

void admission_rig::at(std::size_t gateway, const std::function<void()>& action)
{
    const auto& node = m_nodes[gateway];
    if (node.frozen_until > time.now())
    {
        const auto wait = std::chrono::ceil<milliseconds>(node.frozen_until - time.now());
        time.delays()(wait, [this, gateway, action] { at(gateway, action); });
    }
    else if (!node.dead)
    {
        action();
    }
}

service_room admission_rig::room(const gateway_state& it) const
{
    const auto own = it.jobs.size() - it.held.size();
    const auto used = static_cast<double>(own) + it.others.in_flight;
    return {.slots = m_options.slots,
            .free = m_options.slots * (1 + m_options.allowance) - used,
            .others_waiting = static_cast<std::uint32_t>(it.others.waiting),
            .typical_duration = typical_turn};
}

admission_request admission_rig::request_of(const attempt& it) const
{
    return {.workspace = workspace_id{it.owner->source.workspace},
            .priority = it.owner->source.priority,
            .under_way = it.owner->next_turn > 0,
            .expected_duration = typical_turn,
            .program_deadline = it.owner->deadline,
            .deadline = it.caller_leaves};
}

double admission_rig::uniform(double low, double high)
{
    return std::uniform_real_distribution<double>{low, high}(m_random);
}

} // namespace masticcourse::testing
