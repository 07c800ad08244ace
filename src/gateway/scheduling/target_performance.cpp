#include "masticcourse/gateway/scheduling/target_performance.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace masticcourse::gateway
{

namespace
{

using real_milliseconds = std::chrono::duration<double, std::milli>;

/// Bounds of every time factor: the fastest and slowest target that the estimates tell apart.
constexpr double min_factor = 0.2;
constexpr double max_factor = 10;
/// Weight of the assumption that a target is typical, in samples.
constexpr double measured_prior = 1.5;
constexpr double reported_prior = 1;
/// A sample counts as at most this multiple of the typical time, and at least its inverse, so that a single
/// one doesn't decide.
constexpr double max_deviation = 5;
/// Streams with fewer tokens count less; their time is dominated by single events.
constexpr double full_sample_tokens = 16;
/// How long a report describes the present state of a target: about the length of a slow phase.
constexpr milliseconds report_validity{600};
/// Reports within this time of each other describe the same state of the target.
constexpr milliseconds report_spacing{600};
/// A service counts as reporting time factors for this long after a report, which pauses in its traffic don't
/// interrupt.
constexpr seconds reporting_window{10};
/// The samples of a target lose half of their weight in this time without new ones, so that a target that is
/// avoided for its slowness is tried again.
constexpr seconds sample_half_life{30};
/// The same for the reports of a target. A report from a slow phase that is taken for the target's usual
/// state keeps requests, and with them further reports, away from it.
constexpr seconds report_half_life{3};
/// Interval between computations of the medians, whose time grows with the number of targets.
constexpr milliseconds typical_interval{250};
/// The samples of a target that reports its time factor correct the report only where they differ clearly:
/// a slow phase may begin or end within a sample.
constexpr double residual_tolerance = 1.25;
constexpr double residual_min_samples = 8;
/// Weight of the first event times above the mean relative to those below, which contain less waiting.
constexpr double waiting_weight = 1.0 / 3;
/// @name Limits of the memory used
/// @{
constexpr std::size_t max_targets = 4'096;
constexpr std::size_t max_kinds = 64;
/// @}
/// Upper limit of the expected output, which keeps the conversion to an integer defined.
constexpr double max_expected_output = 1e9;

double to_milliseconds(duration time)
{
    return real_milliseconds{time}.count();
}

duration from_milliseconds(double time)
{
    return std::chrono::duration_cast<duration>(real_milliseconds{time});
}

/// @return the share of their weight that samples keep
double fading(time_point sampled_at, time_point now, seconds half_life = sample_half_life)
{
    const auto age = std::max(duration{0}, now - sampled_at);
    return std::exp2(-to_milliseconds(age) / to_milliseconds(half_life));
}

double limited(double time, double typical)
{
    return typical > 0 ? std::clamp(time, typical / max_deviation, typical * max_deviation) : time;
}

/// @return the time factor by the target's own reports
/// @param typical factor to assume without reports
double reported_factor(const running_mean& mean, double last, time_point reported_at, time_point now,
                       double typical)
{
    if (mean.weight() > 0 && now - reported_at <= report_validity)
    {
        return last;
    }
    const auto weight = mean.weight() * fading(reported_at, now, report_half_life);
    return (mean.mean() * weight + typical * reported_prior) / (weight + reported_prior);
}

} // namespace

const target_performance::target_state* target_performance::find(const target_instance& target) const
{
    const auto it = m_targets.find(target.id);
    return it != m_targets.end() && it->second.started == target.started ? &it->second : nullptr;
}

target_performance::target_state* target_performance::find_or_add(const target_instance& target)
{
    const auto it = m_targets.find(target.id);
    if (it == m_targets.end())
    {
        return m_targets.size() < max_targets
                   ? &m_targets.emplace(target.id, target_state{.started = target.started}).first->second
                   : nullptr;
    }
    if (it->second.started < target.started)
    {
        it->second = target_state{.started = target.started};
    }
    return it->second.started == target.started ? &it->second : nullptr;
}

target_performance::kind_state& target_performance::kind_of(std::string_view kind)
{
    auto it = m_kinds.find(kind);
    if (it == m_kinds.end())
    {
        if (m_kinds.size() >= max_kinds)
        {
            m_kinds.erase(std::ranges::min_element(m_kinds, {},
                                                   [](const auto& entry) { return entry.second.last_use; }));
        }
        it = m_kinds.emplace(kind, kind_state{}).first;
    }
    it->second.last_use = ++m_kind_uses;
    return it->second;
}

void target_performance::record_stream(const target_instance& target, const stream_sample& sample,
                                       time_point now)
{
    auto* const state = find_or_add(target);
    if (state == nullptr)
    {
        return;
    }
    const auto reported =
        reported_factor(state->reported, state->last_reported, state->reported_at, now, m_typical.reported);
    const auto factor = std::clamp(sample.time_factor.value_or(reported), min_factor, max_factor);
    sampled(*state, now);
    if (sample.first_event > duration{0})
    {
        const auto time = limited(to_milliseconds(sample.first_event) / factor, m_typical.first_event);
        const bool above = state->first_event.weight() > 0 && time > state->first_event.mean();
        state->first_event.add(time, above ? waiting_weight : 1);
    }
    if (sample.output_tokens > 0 && sample.output_time > duration{0})
    {
        const auto tokens = static_cast<double>(sample.output_tokens);
        const auto time = to_milliseconds(sample.output_time) / tokens / factor;
        state->output_token.add(limited(time, m_typical.output_token),
                                std::min(1.0, tokens / full_sample_tokens));
    }
    update_typical(now);
}

void target_performance::record_response(const target_instance& target, std::string_view kind,
                                         duration response_time, time_point now)
{
    auto* const state = find_or_add(target);
    if (state == nullptr || response_time <= duration{0})
    {
        return;
    }
    const auto factor =
        reported_factor(state->reported, state->last_reported, state->reported_at, now, m_typical.reported);
    const auto time = to_milliseconds(response_time) / factor;
    auto& mean = kind_of(kind).response;
    // Without the target's own speed, so that the mean doesn't depend on which targets the requests went to.
    mean.add(limited(time / measured_factor(*state, now), mean.mean()));
    sampled(*state, now);
    state->response.add(limited(time, m_typical.response));
    state->response_ratio.add(limited(time / mean.mean(), 1));
    update_typical(now);
}

void target_performance::report_time_factor(const target_instance& target, double factor, time_point now)
{
    auto* const state = std::isfinite(factor) && factor > 0 ? find_or_add(target) : nullptr;
    if (state == nullptr)
    {
        return;
    }
    m_last_report = std::max(now, m_last_report.value_or(now));
    const bool first = state->reported.weight() <= 0;
    if (!first && now < state->reported_at)
    {
        return;
    }
    const auto value = std::clamp(factor, min_factor, max_factor);
    const auto elapsed = std::min<duration>(now - state->reported_at, report_spacing);
    state->reported.add(value, first ? 1 : to_milliseconds(elapsed) / to_milliseconds(report_spacing));
    state->last_reported = value;
    state->reported_at = now;
}

double target_performance::measured_factor(const target_state& state, time_point now) const
{
    const auto fade = fading(state.sampled_at, now);
    const auto tokens = m_typical.output_token > 0 ? state.output_token.weight() * fade : 0;
    const auto responses = m_typical.response_ratio > 0 ? state.response_ratio.weight() * fade : 0;
    double deviation = 0;
    if (tokens > 0)
    {
        deviation += tokens * (state.output_token.mean() / m_typical.output_token - 1);
    }
    if (responses > 0)
    {
        deviation += responses * (state.response_ratio.mean() / m_typical.response_ratio - 1);
    }
    return 1 + deviation / (tokens + responses + measured_prior);
}

double target_performance::time_factor(const target_instance& target, time_point now) const
{
    const auto* const state = find(target);
    if (state == nullptr)
    {
        return m_typical.reported;
    }
    auto measured = measured_factor(*state, now);
    if (state->reported.weight() > 0)
    {
        const auto samples = state->output_token.weight() + state->response_ratio.weight();
        const bool typical = measured < residual_tolerance && measured > 1 / residual_tolerance;
        measured = typical || samples < residual_min_samples ? 1 : measured;
    }
    const auto reported =
        reported_factor(state->reported, state->last_reported, state->reported_at, now, m_typical.reported);
    return std::clamp(reported * measured, min_factor, max_factor);
}

bool target_performance::reports_time_factors(time_point now) const
{
    return m_last_report && now - *m_last_report <= reporting_window;
}

service_profile target_performance::profile() const
{
    return {.first_event = from_milliseconds(m_typical.first_event),
            .output_token = from_milliseconds(m_typical.output_token),
            .response = from_milliseconds(m_typical.response)};
}

void target_performance::record_output(std::string_view kind, token_count estimate, token_count actual)
{
    kind_of(kind).output.record(estimate, actual);
}

token_count target_performance::expected_output(std::string_view kind, std::optional<token_count> hint,
                                                token_count max_output) const
{
    const bool limited = max_output > 0;
    auto estimate = hint && *hint > 0 ? *hint : std::max<token_count>(max_output, 0);
    estimate = limited ? std::min(estimate, max_output) : estimate;
    const auto it = m_kinds.find(kind);
    const auto expected =
        it != m_kinds.end() ? it->second.output.expected(estimate) : static_cast<double>(estimate);
    const auto tokens = static_cast<token_count>(std::llround(std::min(expected, max_expected_output)));
    return limited ? std::clamp<token_count>(tokens, 1, max_output) : tokens;
}

void target_performance::retain(const target_table& targets)
{
    const auto is_gone = [&targets](const auto& it)
    {
        const auto* const entry = targets.find(it.first);
        return entry == nullptr || entry->record.started != it.second.started;
    };
    std::erase_if(m_targets, is_gone);
}

void target_performance::sampled(target_state& state, time_point now)
{
    const auto fade = fading(state.sampled_at, now);
    for (auto* const it : {&state.output_token, &state.first_event, &state.response, &state.response_ratio})
    {
        it->fade(fade);
    }
    state.sampled_at = std::max(state.sampled_at, now);
    ++m_samples;
}

void target_performance::update_typical(time_point now)
{
    // The first samples change the medians most; later they are computed at intervals only.
    const bool doubled = m_samples >= 2 * m_typical_samples;
    if (!doubled && now - m_typical_at < typical_interval)
    {
        return;
    }
    const auto reported = median(&target_state::reported);
    m_typical = {.output_token = median(&target_state::output_token),
                 .first_event = median(&target_state::first_event),
                 .response = median(&target_state::response),
                 .response_ratio = median(&target_state::response_ratio),
                 .reported = reported > 0 ? reported : 1};
    m_typical_at = now;
    m_typical_samples = m_samples;
    ++m_typical_updates;
}

double target_performance::median(running_mean target_state::*value) const
{
    std::vector<double> means;
    means.reserve(m_targets.size());
    for (const auto& [id, state] : m_targets)
    {
        if ((state.*value).weight() > 0)
        {
            means.push_back((state.*value).mean());
        }
    }
    if (means.empty())
    {
        return 0;
    }
    const auto upper = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
    std::ranges::nth_element(means, upper);
    return means.size() % 2 == 1 ? *upper : (*upper + *std::max_element(means.begin(), upper)) / 2;
}

} // namespace masticcourse::gateway
