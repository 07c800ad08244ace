#include "system_node.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>

namespace masticcourse::tests
{

namespace
{

const service_name model_service{"model"};
const service_name tool_service{"tool"};

const std::string& first_config()
{
    static const std::string document =
        R"({"services":{"model":{"kind":"model","idempotent_default":true,"default_deadline_ms":20000},)"
        R"("tool":{"kind":"tool","idempotent_default":false,"default_deadline_ms":20000}},)"
        R"("workspaces":{"w1":{"max_budget":1000000},"w2":{"max_budget":1000000}},)"
        R"("targets":{},"limits":{"turn_limit":100,"repeat_limit":8}})";
    return document;
}

std::chrono::nanoseconds processor_time()
{
    std::timespec at{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return std::chrono::seconds{at.tv_sec} + std::chrono::nanoseconds{at.tv_nsec};
}

/// Adds the processor time of its life to a sum, if it is wanted.
class step_timer
{
  public:
    step_timer(bool wanted, std::chrono::nanoseconds& sum) : m_sum(wanted ? &sum : nullptr)
    {
        m_start = wanted ? processor_time() : std::chrono::nanoseconds{};
    }
    ~step_timer()
    {
        if (m_sum != nullptr)
        {
            *m_sum += processor_time() - m_start;
        }
    }
    step_timer(const step_timer&) = delete;
    step_timer(step_timer&&) = delete;
    step_timer& operator=(const step_timer&) = delete;
    step_timer& operator=(step_timer&&) = delete;

  private:
    std::chrono::nanoseconds* m_sum;
    std::chrono::nanoseconds m_start{};
};

} // namespace

system_world::system_world(system_options options) : m_options(options), m_random(options.seed)
{
    const auto targets = m_options.models + m_options.tools;
    for (std::size_t n = 0; n < m_options.entries + targets; ++n)
    {
        auto made = std::make_unique<node>();
        made->is_entry = n < m_options.entries;
        made->index = made->is_entry ? n : n - m_options.entries;
        made->is_model = !made->is_entry && made->index < m_options.models;
        made->name = made->is_entry ? entry_name(made->index) : target_name(made->index);
        made->address = "10.0.0." + std::to_string(n) + ":1";
        m_nodes.push_back(std::move(made));
    }
    std::ranges::for_each(m_nodes, [&](const auto& it) { make_core(*it); });
}

system_world::~system_world() = default;

process_name system_world::entry_name(std::size_t entry) const
{
    return {"entry-" + std::to_string(entry)};
}

process_name system_world::target_name(std::size_t target) const
{
    return {(is_model(target) ? "model-" : "tool-") + std::to_string(target)};
}

bool system_world::is_model(std::size_t target) const
{
    return target < m_options.models;
}

core_time system_world::now() const
{
    return m_now;
}

const system_options& system_world::options() const
{
    return m_options;
}

standins::platform_store& system_world::store()
{
    return m_store;
}

std::uint64_t system_world::random(std::uint64_t below)
{
    return m_random() % below;
}

std::vector<known_process> system_world::all_processes() const
{
    std::vector<known_process> all;
    all.reserve(m_nodes.size());
    for (const auto& it : m_nodes)
    {
        all.push_back({.role = it->is_entry ? process_role::entry : process_role::target,
                       .name = it->name,
                       .address = it->address,
                       .service = it->is_entry   ? service_name{}
                                  : it->is_model ? model_service
                                                 : tool_service,
                       .failure_domain = {"d" + std::to_string(it->index % 3)}});
    }
    return all;
}

entry_options system_world::options_for_entry(std::size_t entry)
{
    const auto name = entry_name(entry);
    entry_options options{.name = name,
                          .incarnation = {name.value + "#" + std::to_string(++m_lives)},
                          .peer_address = m_nodes[entry]->address,
                          .seed = m_random(),
                          .shards = m_options.shards,
                          .processes = all_processes(),
                          .initial_config = first_config()};
    options.checkpoint_records = m_options.checkpoint_records;
    options.escrow_chunk = m_options.escrow_chunk;
    options.program_lease = m_options.program_lease;
    return options;
}

target_options system_world::options_for_target(std::size_t target)
{
    const auto name = target_name(target);
    target_options options{.name = name,
                           .incarnation = {name.value + "#" + std::to_string(++m_lives)},
                           .address = target_node(target).address,
                           .service = is_model(target) ? model_service : tool_service,
                           .kind = is_model(target) ? call_kind::model : call_kind::tool,
                           .cache_capacity = 100'000};
    options.first_lease = std::chrono::seconds{4};
    options.listing_period = std::chrono::seconds{1};
    return options;
}

system_world::node& system_world::target_node(std::size_t target) const
{
    return *m_nodes[m_options.entries + target];
}

void system_world::make_core(node& made)
{
    made.life = ++m_lives;
    made.stopped = false;
    made.frozen_until = m_now;
    made.wakeup = m_now;
    made.entry_inbox.clear();
    made.target_inbox.clear();
    if (made.is_entry)
    {
        made.entry = std::make_unique<entry_core>(options_for_entry(made.index));
        return;
    }
    made.target = std::make_unique<target_core>(options_for_target(made.index));
}

core_duration system_world::network_delay()
{
    return core_duration{200 + random(1500)};
}

bool system_world::is_cut(const process_name& a, const process_name& b) const
{
    return m_cuts.contains(ordered(a, b));
}

// Time

void system_world::after(core_duration time, std::function<void()> action)
{
    m_queue.push({m_now + time, ++m_order, std::move(action)});
}

void system_world::run_due(core_time until)
{
    while (true)
    {
        core_time next = core_time::max();
        node* first = nullptr;
        for (const auto& it : m_nodes)
        {
            const auto due = std::max(it->wakeup, it->frozen_until);
            if (it->alive() && due < next)
            {
                next = due;
                first = it.get();
            }
        }
        const bool event_first = !m_queue.empty() && m_queue.top().at <= next;
        next = event_first ? m_queue.top().at : next;
        if (next > until)
        {
            m_now = std::max(m_now, until);
            return;
        }
        m_now = std::max(m_now, next);
        if (!event_first)
        {
            step(*first);
            continue;
        }
        const auto action = m_queue.top().action;
        m_queue.pop();
        action();
    }
}

void system_world::run_for(core_duration time)
{
    run_due(m_now + time);
}

bool system_world::run_until(const std::function<bool()>& condition, core_duration longest)
{
    constexpr auto look = std::chrono::milliseconds{10};
    const auto until = m_now + longest;
    while (m_now < until)
    {
        if (condition())
        {
            return true;
        }
        run_for(look);
    }
    return condition();
}

void system_world::step(node& at)
{
    const auto life = at.life;
    if (at.is_entry)
    {
        const auto inputs = std::exchange(at.entry_inbox, {});
        const auto outputs = [&]
        {
            const step_timer timer(m_options.measure_cpu, m_traffic.entry_cpu);
            return at.entry->step(inputs, m_now);
        }();
        ++m_traffic.entry_steps;
        at.wakeup = std::max(at.entry->next_wakeup(), m_now + core_duration{1});
        for (const auto& it : outputs)
        {
            if (at.life == life && at.alive())
            {
                perform(at, it);
            }
        }
        return;
    }
    const auto inputs = std::exchange(at.target_inbox, {});
    const auto outputs = [&]
    {
        const step_timer timer(m_options.measure_cpu, m_traffic.target_cpu);
        return at.target->step(inputs, m_now);
    }();
    ++m_traffic.target_steps;
    at.wakeup = std::max(at.target->next_wakeup(), m_now + core_duration{1});
    for (const auto& it : outputs)
    {
        if (at.life == life && at.alive())
        {
            perform(at, it);
        }
    }
}

void system_world::perform(node& at, const entry_output& output)
{
    if (const auto* const it = std::get_if<run_store_op>(&output))
    {
        do_store(at, *it);
    }
    else if (const auto* const opened = std::get_if<open_peer>(&output))
    {
        do_open(at, *opened);
    }
    else if (const auto* const sent = std::get_if<send_peer>(&output))
    {
        do_send(at, *sent);
    }
    else if (const auto* const closed = std::get_if<close_peer>(&output))
    {
        do_close(at, *closed);
    }
    else if (const auto* const traced = std::get_if<trace_event>(&output))
    {
        do_trace(at, *traced);
    }
    else if (std::holds_alternative<ready_to_stop>(output))
    {
        at.stopped = true;
        kill_entry(at.index, false);
    }
    else
    {
        answer_callers(at, output);
    }
}

void system_world::answer_callers(node& at, const entry_output& output)
{
    const auto find_caller = [&](request_id id)
    {
        return std::ranges::find_if(
            m_callers, [&](const auto& it)
            { return it.second.entry == at.index && it.second.life == at.life && it.second.id == id; });
    };
    const auto finish = [&](auto it)
    {
        auto done = std::move(it->second);
        m_callers.erase(it);
        after(network_delay(), [done = std::move(done)] { done.on_answer(done.answer); });
    };
    if (const auto* const reply = std::get_if<caller_reply>(&output))
    {
        if (const auto it = find_caller(reply->id); it != m_callers.end())
        {
            it->second.answer.status = reply->status;
            it->second.answer.body = reply->body;
            it->second.answer.retry_after = reply->retry_after;
            it->second.answer.etag = reply->etag;
            finish(it);
        }
    }
    else if (const auto* const event = std::get_if<caller_event>(&output))
    {
        if (const auto it = find_caller(event->id); it != m_callers.end())
        {
            take_event(it->second.answer, *event);
        }
    }
    else if (const auto* const end = std::get_if<caller_end>(&output))
    {
        if (const auto it = find_caller(end->id); it != m_callers.end())
        {
            finish(it);
        }
    }
}

void system_world::take_event(caller_answer& answer, const caller_event& event)
{
    answer.last_event = event.event;
    if (event.name == "restart")
    {
        answer.streamed.clear();
    }
    else if (event.name == "token")
    {
        answer.streamed += nlohmann::json::parse(event.data).at("text").get<std::string>();
    }
    else
    {
        constexpr int status_ok = 200;
        constexpr int status_failed = 500;
        answer.status = event.name == "outcome" ? status_ok : status_failed;
        answer.body = event.data;
    }
}

void system_world::perform(node& at, const target_output& output)
{
    if (const auto* const sent = std::get_if<send_peer>(&output))
    {
        do_send(at, *sent);
    }
    else if (const auto* const closed = std::get_if<close_peer>(&output))
    {
        do_close(at, *closed);
    }
    else if (const auto* const it = std::get_if<run_store_op>(&output))
    {
        do_store(at, *it);
    }
    else if (const auto* const started = std::get_if<engine_start>(&output))
    {
        do_start(at, *started);
    }
    else if (const auto* const cancelled = std::get_if<engine_cancel>(&output))
    {
        do_cancel(at, *cancelled);
    }
    else if (const auto* const freed = std::get_if<engine_free>(&output))
    {
        at.record.held.erase(freed->program);
    }
    else if (std::holds_alternative<engine_list_request>(output))
    {
        do_list(at);
    }
    else if (const auto* const traced = std::get_if<trace_event>(&output))
    {
        do_trace(at, *traced);
    }
    else if (std::holds_alternative<ready_to_stop>(output))
    {
        at.stopped = true;
        kill_target(at.index, false);
    }
}

} // namespace masticcourse::tests
