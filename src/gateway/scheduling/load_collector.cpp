#include "masticcourse/gateway/scheduling/load_collector.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// Maximum number of gateways with state, four times the largest deployment; digests of further ones are not
/// applied.
constexpr std::size_t max_gateways = 5'000;

std::uint32_t to_count(std::uint64_t n)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(n, std::numeric_limits<std::uint32_t>::max()));
}

bool is_empty(const target_usage& it)
{
    return it.in_flight == 0 && it.successes == 0 && it.failures == 0 && !it.report;
}

} // namespace

load_collector::load_collector(std::string incarnation, milliseconds lifetime)
    : m_incarnation(std::move(incarnation)), m_lifetime(lifetime)
{
}

void load_collector::set_lifetime(milliseconds lifetime)
{
    if (lifetime != m_lifetime)
    {
        m_lifetime = lifetime;
        m_next_expiry = {};
        m_next_target_expiry = {};
    }
}

load_summary load_collector::exchange(const load_digest& digest, time_point now)
{
    expire_gateways(now);
    expire_targets(now);
    auto* const sender = find_or_add(digest, now);
    if (sender == nullptr)
    {
        auto summary = summarize(nullptr, 0, now);
        summary.needs_complete = true;
        return summary;
    }
    if (digest.received_version == sender->summary_version)
    {
        confirm_summary(*sender);
    }
    apply(*sender, digest, now);
    return summarize(sender, digest.complete ? 0 : digest.received_version, now);
}

void load_collector::expire_gateways(time_point now)
{
    if (now < m_next_expiry)
    {
        return;
    }
    m_next_expiry = now + m_lifetime;
    for (auto it = m_gateways.begin(); it != m_gateways.end();)
    {
        const auto expires = it->second.heard_at + m_lifetime;
        if (expires > now)
        {
            m_next_expiry = std::min(m_next_expiry, expires);
            ++it;
            continue;
        }
        clear_usage(it->second, now);
        clear_demand(it->second);
        it = m_gateways.erase(it);
    }
}

void load_collector::expire_targets(time_point now)
{
    if (now < m_next_target_expiry)
    {
        return;
    }
    m_next_target_expiry = now + m_lifetime;
    // Until then every gateway has been told that the target is no longer in use, unless a reply was lost.
    const auto unused_for = std::max(m_lifetime, load_report_lifetime);
    std::erase_if(m_targets,
                  [&](const auto& entry)
                  {
                      const auto& [target, it] = entry;
                      const bool dropped = it.in_flight == 0 && it.changed_at + unused_for <= now;
                      if (dropped)
                      {
                          m_dropped_version = std::max(m_dropped_version, it.changed);
                          forget(target);
                      }
                      return dropped;
                  });
}

void load_collector::forget(const target_instance& target)
{
    for (auto& [address, it] : m_gateways)
    {
        it.targets.erase(target);
        std::erase_if(it.unconfirmed, [&](const unconfirmed_outcomes& one) { return one.target == target; });
    }
}

load_collector::gateway_state* load_collector::find_or_add(const load_digest& digest, time_point now)
{
    const auto found = m_gateways.find(digest.sender);
    const bool known = found != m_gateways.end();
    if (known && found->second.incarnation == digest.incarnation)
    {
        return digest.sequence > found->second.sequence ? &found->second : nullptr;
    }
    if (!digest.complete || (!known && m_gateways.size() >= max_gateways))
    {
        return nullptr;
    }
    if (known)
    {
        clear_usage(found->second, now);
        clear_demand(found->second);
    }
    auto& it = m_gateways[digest.sender];
    it = {.number = ++m_last_number, .incarnation = digest.incarnation};
    // A new gateway is not told of outcomes before its time.
    for (const auto& [target, state] : m_targets)
    {
        it.targets[target].received = state.outcomes;
    }
    return &it;
}

void load_collector::apply(gateway_state& sender, const load_digest& digest, time_point now)
{
    sender.sequence = digest.sequence;
    sender.heard_at = now;
    if (digest.complete)
    {
        clear_usage(sender, now);
    }
    std::ranges::for_each(digest.targets, [&](const target_usage& it) { apply(sender, it, now); });
    clear_demand(sender);
    apply(sender, digest.demand);
}

void load_collector::apply(gateway_state& sender, const target_usage& usage, time_point now)
{
    if (m_targets.size() >= max_load_targets && !m_targets.contains(usage.target))
    {
        return;
    }
    auto& it = m_targets[usage.target];
    auto& own = sender.targets[usage.target];
    const bool new_report = usage.report && apply(it, *usage.report, sender.number, now);
    if (own.in_flight == usage.in_flight && usage.successes == 0 && usage.failures == 0 && !new_report)
    {
        return;
    }
    it.in_flight = it.in_flight - own.in_flight + usage.in_flight;
    own.in_flight = usage.in_flight;
    own.own.add(usage.successes, usage.failures);
    it.outcomes.add(usage.successes, usage.failures);
    touch(it, sender.number, now);
}

void load_collector::apply(gateway_state& sender, const std::vector<service_demand>& demand)
{
    for (const auto& it : demand)
    {
        const bool full = m_demand.size() >= max_load_services && !m_demand.contains(it.service);
        if (it.waiting == 0 || full || !sender.demand.try_emplace(it.service, it.waiting).second)
        {
            continue;
        }
        m_demand[it.service] += it.waiting;
    }
}

bool load_collector::apply(target_state& it, const aged_load_report& report, gateway_number reporter,
                           time_point now)
{
    const auto made_at = now - report.age;
    if (report.age > load_report_lifetime || (it.report && it.report->made_at >= made_at))
    {
        return false;
    }
    it.report = known_report{.load = report.load, .made_at = made_at, .reporter = reporter};
    return true;
}

void load_collector::clear_usage(gateway_state& sender, time_point now)
{
    for (auto& [target, own] : sender.targets)
    {
        if (own.in_flight > 0)
        {
            auto& it = m_targets.at(target);
            it.in_flight -= std::exchange(own.in_flight, 0);
            touch(it, sender.number, now);
        }
    }
}

void load_collector::clear_demand(gateway_state& sender)
{
    for (const auto& [service, waiting] : sender.demand)
    {
        const auto it = m_demand.find(service);
        it->second -= waiting;
        if (it->second == 0)
        {
            m_demand.erase(it);
        }
    }
    sender.demand.clear();
}

void load_collector::touch(target_state& it, gateway_number by, time_point now)
{
    if (it.changed_by != by)
    {
        it.changed_by_others = it.changed;
        it.changed_by = by;
    }
    it.changed = ++m_version;
    it.changed_at = now;
}

void load_collector::confirm_summary(gateway_state& receiver)
{
    for (const auto& it : receiver.unconfirmed)
    {
        if (const auto found = receiver.targets.find(it.target); found != receiver.targets.end())
        {
            found->second.received = it.received;
        }
    }
    receiver.unconfirmed.clear();
}

load_summary load_collector::summarize(gateway_state* receiver, state_version received, time_point now) const
{
    const bool complete = received == 0 || received < m_dropped_version || received > m_version;
    load_summary summary{.collector_incarnation = m_incarnation,
                         .gateways = to_count(m_gateways.size() + (receiver == nullptr ? 1 : 0)),
                         .version = m_version,
                         .complete = complete,
                         .demand = demand_of_others(receiver)};
    if (receiver != nullptr)
    {
        receiver->summary_version = m_version;
        receiver->unconfirmed.clear();
    }
    for (const auto& [target, it] : m_targets)
    {
        const bool changed_last = receiver != nullptr && receiver->number == it.changed_by;
        if (complete || (changed_last ? it.changed_by_others : it.changed) > received)
        {
            auto usage = usage_by_others(target, it, receiver, now);
            if (!complete || !is_empty(usage))
            {
                summary.targets.push_back(std::move(usage));
            }
        }
    }
    return summary;
}

target_usage load_collector::usage_by_others(const target_instance& target, const target_state& it,
                                             gateway_state* receiver, time_point now)
{
    target_usage usage{.target = target, .in_flight = to_count(it.in_flight)};
    if (receiver != nullptr)
    {
        const auto& own = receiver->targets[target];
        usage.in_flight = to_count(it.in_flight - own.in_flight);
        const auto others = it.outcomes - own.own;
        usage.successes = to_count(others.successes - own.received.successes);
        usage.failures = to_count(others.failures - own.received.failures);
        receiver->unconfirmed.push_back({.target = target, .received = others});
    }
    const bool from_other = it.report && (receiver == nullptr || it.report->reporter != receiver->number);
    if (from_other && now - it.report->made_at <= load_report_lifetime)
    {
        usage.report = aged_load_report{.load = it.report->load,
                                        .age = std::chrono::ceil<milliseconds>(now - it.report->made_at)};
    }
    return usage;
}

std::vector<service_demand> load_collector::demand_of_others(const gateway_state* receiver) const
{
    std::vector<service_demand> demand;
    for (const auto& [service, waiting] : m_demand)
    {
        std::uint64_t own = 0;
        if (receiver != nullptr)
        {
            const auto found = receiver->demand.find(service);
            own = found != receiver->demand.end() ? found->second : 0;
        }
        if (waiting > own)
        {
            demand.push_back({.service = service, .waiting = to_count(waiting - own)});
        }
    }
    return demand;
}

} // namespace masticcourse::gateway
