#include "masticcourse/gateway/target_table.hpp"

#include <algorithm>
#include <unordered_set>

namespace masticcourse::gateway
{

namespace
{

/// Time over which the weight of a load report decays to zero. A busy target sends several reports within
/// this time.
constexpr milliseconds report_lifetime{1'000};
/// Backoff after the first failure, doubled with each consecutive one. A killed process is back within
/// seconds, and each retry of a failed target costs one request an attempt.
constexpr milliseconds initial_backoff{250};
constexpr milliseconds max_backoff{2'000};

milliseconds backoff_after(std::uint32_t failures)
{
    constexpr std::uint32_t max_shift = 3;
    const auto shift = std::min(failures - 1, max_shift);
    return std::min(initial_backoff * (1 << shift), max_backoff);
}

} // namespace

double target::load(time_point now) const
{
    const auto age = std::chrono::duration<double>(now - reported_at);
    const double weight = std::max(0.0, 1.0 - age / std::chrono::duration<double>(report_lifetime));
    return in_flight + external_load * weight;
}

double target::utilization(time_point now) const
{
    return load(now) / std::max(1U, record.slots);
}

bool target_table::put(const target_record& record)
{
    m_candidates.clear();
    auto& entry = m_targets[record.id];
    if (record.started < entry.record.started)
    {
        return false;
    }
    const bool changed = entry.record != record;
    if (record.started > entry.record.started)
    {
        entry = {};
    }
    entry.replaced = entry.replaced && !changed;
    entry.record = record;
    entry.expires_at.reset();
    return changed;
}

bool target_table::withdraw(const target_id& id)
{
    m_candidates.clear();
    return m_targets.erase(id) > 0;
}

bool target_table::remove(const target_id& id, time_point now, milliseconds grace)
{
    const auto it = m_targets.find(id);
    if (it == m_targets.end())
    {
        return false;
    }
    if (!it->second.expires_at)
    {
        it->second.expires_at = now + grace;
    }
    return true;
}

void target_table::retain(const std::vector<target_id>& present, time_point now, milliseconds grace)
{
    const std::unordered_set<target_id> present_ids(present.begin(), present.end());
    for (auto& [id, entry] : m_targets)
    {
        if (!present_ids.contains(id))
        {
            remove(id, now, grace);
        }
    }
}

void target_table::extend_grace(duration time)
{
    for (auto& [id, entry] : m_targets)
    {
        if (entry.expires_at)
        {
            *entry.expires_at += time;
        }
    }
}

std::vector<target_id> target_table::expire(time_point now)
{
    std::vector<target_id> expired;
    for (const auto& [id, entry] : m_targets)
    {
        if (entry.expires_at && *entry.expires_at <= now)
        {
            expired.push_back(id);
        }
    }
    if (!expired.empty())
    {
        m_candidates.clear();
    }
    std::ranges::for_each(expired, [this](const auto& id) { m_targets.erase(id); });
    return expired;
}

target* target_table::find_instance(const target_instance& instance)
{
    const auto it = m_targets.find(instance.id);
    return it != m_targets.end() && it->second.record.started == instance.started ? &it->second : nullptr;
}

void target_table::begin(const target_instance& instance)
{
    if (auto* const entry = find_instance(instance))
    {
        ++entry->in_flight;
    }
}

void target_table::end(const target_instance& instance, health_signal signal, time_point now)
{
    auto* const found = find_instance(instance);
    if (found == nullptr)
    {
        return;
    }
    auto& entry = *found;
    entry.in_flight -= entry.in_flight > 0 ? 1 : 0;
    if (signal == health_signal::healthy || signal == health_signal::refused)
    {
        entry.failures = 0;
        entry.backoff_until = {};
    }
    else if (signal == health_signal::replaced)
    {
        entry.replaced = true;
        m_candidates.clear();
    }
    else if (signal != health_signal::none)
    {
        // A failed response may be a transient error, which a few percent of requests meet at worst,
        // or the target may be going down. Avoiding it for 250 ms costs nothing in the first case, and in the
        // second it protects requests that can't be retried.
        ++entry.failures;
        entry.backoff_until = now + backoff_after(entry.failures);
    }
}

void target_table::report(const target_instance& instance, const target_load_report& load, time_point now)
{
    if (auto* const entry = find_instance(instance))
    {
        const auto total = load.running + load.waiting;
        entry->external_load = total - std::min(total, entry->in_flight);
        entry->reported_at = now;
    }
}

std::vector<const target*> target_table::candidates(const service_name& service) const
{
    const auto [it, inserted] = m_candidates.try_emplace(service);
    if (inserted)
    {
        it->second = find_candidates(service);
    }
    return it->second;
}

std::vector<const target*> target_table::find_candidates(const service_name& service) const
{
    std::vector<const target*> found;
    for (const auto& [id, entry] : m_targets)
    {
        if (entry.record.service == service && !entry.record.draining && !entry.replaced)
        {
            found.push_back(&entry);
        }
    }
    std::ranges::sort(found, {}, [](const target* it) -> const auto& { return it->record.id; });
    return found;
}

const target* target_table::find(const target_id& id) const
{
    const auto it = m_targets.find(id);
    return it != m_targets.end() ? &it->second : nullptr;
}

} // namespace masticcourse::gateway
