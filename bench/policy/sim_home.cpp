#include "sim_home.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::bench
{

namespace
{

using seconds = std::chrono::duration<double>;

/// Reports are so old when they arrive.
constexpr core_duration report_lag = std::chrono::milliseconds{100};

std::vector<cached_prefix>::iterator entry_of(std::vector<cached_prefix>& cached, std::size_t target)
{
    return std::ranges::find(cached, target, &cached_prefix::target);
}

} // namespace

sim_home::sim_home(const system_options& system, std::size_t targets, failure_domain_name own_domain)
    : m_system(system), m_own_domain(std::move(own_domain)), m_views(targets), m_targets(targets)
{
    std::ranges::for_each(m_targets, [](auto& it) { it.tracker = load_tracker{report_lag}; });
}

std::optional<core_duration> sim_home::refuse(const home_query& query, core_time now)
{
    if (!m_system.overload)
    {
        return std::nullopt;
    }
    refresh(now);
    service_backlog backlog;
    for (const auto& view : m_views)
    {
        if (view.usable)
        {
            backlog.drain_time += expected_queue_delay(view, now, m_system.placement);
            ++backlog.usable_targets;
        }
    }
    backlog.drain_time /= std::max(backlog.usable_targets, 1U);
    const double cost =
        static_cast<double>(query.prompt_tokens) / m_system.placement.default_prefill_rate +
        static_cast<double>(query.expected_completion) / m_system.placement.default_decode_rate;
    const admission_query asked{.estimated_duration =
                                    std::chrono::duration_cast<core_duration>(seconds{cost}),
                                .priority = query.priority,
                                .first_turn = query.first_turn};
    return overload_retry_after(asked, backlog, *m_system.overload);
}

std::optional<placement_choice> sim_home::place(const home_query& query, core_time now)
{
    refresh(now);
    const auto cached = believed(query);
    const placement_query asked{.program = query.program,
                                .prompt_tokens = query.prompt_tokens,
                                .expected_completion_tokens = query.expected_completion,
                                .cached = cached,
                                .local_domain = m_own_domain,
                                .previous_target = query.last,
                                .sequence = m_sequence++};
    return choose_target(asked, m_views, now, m_system.placement);
}

token_count sim_home::believed_at(const home_query& query, std::size_t target) const
{
    const auto cached = believed(query);
    const auto it = std::ranges::find(cached, target, &cached_prefix::target);
    return it == cached.end() ? 0 : std::min(it->tokens, query.prompt_tokens);
}

void sim_home::on_report(std::size_t target, const target_load& load, core_time now)
{
    m_views[target].report = load;
    m_views[target].report_time = now;
    m_targets[target].tracker.on_report(now);
}

void sim_home::on_cache(std::size_t target, const target_cache& cache)
{
    for (const auto& program : cache.dropped)
    {
        const auto it = m_cached.find(program);
        if (it != m_cached.end())
        {
            std::erase_if(it->second, [target](const cached_prefix& copy) { return copy.target == target; });
        }
    }
    for (const auto& held : cache.held)
    {
        const auto it = m_cached.find(held.program);
        if (it == m_cached.end())
        {
            continue;
        }
        const auto copy = entry_of(it->second, target);
        if (copy != it->second.end())
        {
            copy->tokens = std::min(copy->tokens, held.tokens);
        }
    }
}

void sim_home::on_sent(std::size_t target, const call_ref& call, token_count prefill, token_count decode,
                       core_time now)
{
    m_targets[target].tracker.on_sent(call, prefill, decode, now);
    m_targets[target].breaker.on_sent(now);
}

void sim_home::on_finished(std::size_t target, const call_ref& call, token_count held, core_time now)
{
    ended(target, call);
    m_targets[target].breaker.on_success(now);
    auto& cached = m_cached[call.program];
    const auto copy = entry_of(cached, target);
    if (copy != cached.end())
    {
        copy->tokens = held;
        return;
    }
    cached.push_back({target, held});
}

void sim_home::on_failed(std::size_t target, const call_ref& call, core_time now)
{
    ended(target, call);
    m_targets[target].breaker.on_failure(now);
}

void sim_home::on_program_end(const program_id& program)
{
    m_cached.erase(program);
}

void sim_home::set_connected(std::size_t target, bool connected, failure_domain_name domain)
{
    m_targets[target].connected = connected;
    m_views[target].failure_domain = std::move(domain);
}

void sim_home::refresh(core_time now)
{
    for (std::size_t n = 0; n < m_views.size(); ++n)
    {
        const auto& target = m_targets[n];
        m_views[n].usable = target.connected && (!m_system.breaker || target.breaker.allows(now));
        if (m_system.correct_reports)
        {
            target.tracker.apply_to(m_views[n], now, m_system.placement.report_lifetime);
        }
    }
}

std::vector<cached_prefix> sim_home::believed(const home_query& query) const
{
    if (const auto it = m_cached.find(query.program); it != m_cached.end())
    {
        return it->second;
    }
    if (m_system.share_with_children && !query.parent.empty())
    {
        if (const auto it = m_cached.find(query.parent); it != m_cached.end())
        {
            return it->second;
        }
    }
    return {};
}

void sim_home::ended(std::size_t target, const call_ref& call)
{
    m_targets[target].tracker.on_ended(call);
}

} // namespace masticcourse::bench
