#include "masticcourse/gateway/poison_detection.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// Keeps the shift of the quarantine within the range of its type.
constexpr std::uint32_t max_doublings = 16;

milliseconds age_of(time_point since, time_point now)
{
    return std::max(milliseconds{0}, std::chrono::floor<milliseconds>(now - since));
}

} // namespace

milliseconds poison_detection::quarantine_after(const suspicion& state) const
{
    if (state.ends < m_options.max_ends)
    {
        return milliseconds{0};
    }
    const auto doublings = std::min(state.ends - m_options.max_ends, max_doublings);
    return std::min(m_options.min_quarantine * (1 << doublings), m_options.max_quarantine);
}

time_point poison_detection::forgotten_at(const entry& it) const
{
    return it.changed_at + quarantine_after(it.state) + m_options.memory;
}

bool poison_detection::is_quarantined(const entry& it, time_point now) const
{
    return now < it.changed_at + quarantine_after(it.state);
}

const poison_detection::entry* poison_detection::find_entry(const request_fingerprint& request,
                                                            time_point now) const
{
    const auto it = m_entries.find(request);
    return it != m_entries.end() && now < forgotten_at(it->second) ? &it->second : nullptr;
}

suspicion poison_detection::find(const request_fingerprint& request, time_point now) const
{
    const auto* const found = find_entry(request, now);
    return found != nullptr ? found->state : suspicion{};
}

std::optional<milliseconds> poison_detection::quarantine(const request_fingerprint& request,
                                                         time_point now) const
{
    const auto* const found = find_entry(request, now);
    if (found == nullptr || !is_quarantined(*found, now))
    {
        return std::nullopt;
    }
    return quarantine_after(found->state) - age_of(found->changed_at, now);
}

suspicion poison_detection::record_end(const request_fingerprint& request, suspicion at_send, time_point now)
{
    auto state = find(request, now);
    // A response that came after the request was sent has cleared the ends known then.
    const bool cleared_since = state.generation > at_send.generation;
    const auto known_at_send = cleared_since ? 0 : at_send.ends;
    state.generation = std::max(state.generation, at_send.generation);
    state.ends = std::max(state.ends, known_at_send + 1);
    return set(request, state, now, now);
}

poison_detection::answered_request& poison_detection::slot_of(const request_fingerprint& request)
{
    return m_answered[request.low % m_answered.size()];
}

bool poison_detection::answered_lately(const request_fingerprint& request, time_point now)
{
    const auto& slot = slot_of(request);
    return slot.request == request && now < slot.at + m_options.answered_memory;
}

bool poison_detection::record_response(const request_fingerprint& request, time_point now)
{
    slot_of(request) = {.request = request, .at = now};
    const auto state = find(request, now);
    if (state.ends == 0)
    {
        return false;
    }
    set(request, {.generation = state.generation + 1, .ends = 0}, now, now);
    return true;
}

bool poison_detection::merge(const suspicion_report& report, time_point now)
{
    const auto known = find(report.request, now);
    if (report.state <= known)
    {
        return false;
    }
    const entry reported{.state = report.state, .changed_at = now - report.age};
    if (now >= forgotten_at(reported))
    {
        return false;
    }
    // What is not taken over in full is no news: gateways would pass it on to each other without end.
    return set(report.request, reported.state, reported.changed_at, now) != known;
}

suspicion poison_detection::set(const request_fingerprint& request, suspicion state, time_point changed_at,
                                time_point now)
{
    make_room(now);
    auto& stored = m_entries[request];
    const bool too_many = !is_quarantined(stored, now) && quarantined(now) >= m_options.max_quarantined;
    if (too_many || answered_lately(request, now))
    {
        state.ends = std::min(state.ends, m_options.max_ends - 1);
    }
    stored = {.state = state, .changed_at = changed_at};
    return state;
}

void poison_detection::make_room(time_point now)
{
    if (m_entries.size() < m_options.max_requests)
    {
        return;
    }
    sweep(now);
    if (m_entries.size() < m_options.max_requests)
    {
        return;
    }
    const auto rank = [](const auto& it) { return std::pair{it.second.state.ends, it.second.changed_at}; };
    m_entries.erase(std::ranges::min_element(m_entries, {}, rank));
}

std::optional<suspicion_report> poison_detection::report(const request_fingerprint& request,
                                                         time_point now) const
{
    const auto* const found = find_entry(request, now);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    return suspicion_report{.request = request, .state = found->state, .age = age_of(found->changed_at, now)};
}

std::vector<suspicion_report> poison_detection::reports(std::size_t max_count, time_point now) const
{
    std::vector<suspicion_report> all;
    for (const auto& [request, it] : m_entries)
    {
        if (now < forgotten_at(it))
        {
            all.push_back({.request = request, .state = it.state, .age = age_of(it.changed_at, now)});
        }
    }
    std::ranges::sort(all, std::ranges::greater{}, [](const auto& it) { return it.state.ends; });
    all.resize(std::min(all.size(), max_count));
    return all;
}

void poison_detection::sweep(time_point now)
{
    std::erase_if(m_entries, [&](const auto& it) { return now >= forgotten_at(it.second); });
}

std::size_t poison_detection::quarantined(time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_entries, [&](const auto& it) { return is_quarantined(it.second, now); }));
}

} // namespace masticcourse::gateway
