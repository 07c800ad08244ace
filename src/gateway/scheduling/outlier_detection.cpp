#include "masticcourse/gateway/scheduling/outlier_detection.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// A series of failures in a row ends after this time without another one.
constexpr seconds failure_run_lifetime{10};

/// Duration of work relative to the median target from which a target is an outlier. Targets differ by up to
/// 1.7 times, and ranking takes that into account. One turn that takes three times as long uses up the slack
/// of a program of eight turns.
constexpr double latency_threshold = 3;
/// How long a target must be that slow: longer than three slow phases of 600 ms in a row.
constexpr milliseconds min_slow_time{2'000};

/// At most one in this many targets is ejected.
constexpr std::size_t targets_per_ejection = 3;
/// First period of ejection; it doubles with each ejection in a row.
constexpr milliseconds base_period{1'000};
constexpr milliseconds max_period{16'000};
/// Time after its return in which a target must not be ejected for its period to begin anew. It is longer
/// than the phases of targets that alternate between working and failing.
constexpr seconds healthy_time{10};
/// Successes in the half-open state after which a target returns.
constexpr std::uint32_t return_successes = 3;
/// Gateways that exchange outcomes begin to probe at random times within this time after the target has
/// become half-open, so that most of them know the outcome of the first probes before they send their own.
constexpr seconds probe_spread{1};
/// Time constant of the number of gateways that have begun to probe, which grows exponentially over the
/// spread: about the time in which an outcome reaches the other gateways.
constexpr milliseconds probe_growth_time{300};
/// In the last part of the period, one in this many, a failure renews the ejection, although successes don't
/// count yet: gateways eject a target at slightly different times, so that others may already be probing it.
constexpr int settled_divisor = 2;
/// Time after which a probe without an outcome is regarded as lost. Such a probe is no failure, since it may
/// never have been sent; a request that times out at the target is recorded as a failure by its caller.
constexpr milliseconds probe_timeout{2'000};

double median_of(std::vector<double> values)
{
    if (values.empty())
    {
        return 1;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

duration probe_delay(std::mt19937& random)
{
    const auto share = std::uniform_real_distribution<>{std::numeric_limits<double>::min(), 1}(random);
    const duration before_end{
        std::llround(-std::log(share) * static_cast<double>(duration{probe_growth_time}.count()))};
    return std::max(duration{0}, probe_spread - before_end);
}

} // namespace

void outlier_detection::reset(target_state& state, wall_time started)
{
    const bool changed = state.changed || state.current.has_value();
    const auto reason = state.last_reason;
    const auto evaluation = state.evaluation;
    state = {};
    state.started = started;
    state.last_reason = reason;
    state.evaluation = evaluation;
    state.changed = changed;
}

void outlier_detection::eject(target_state& state, ejection_reason reason, double severity, time_point now)
{
    state.period =
        state.period == milliseconds::zero() ? base_period : std::min(state.period * 2, max_period);
    ejection current;
    current.reason = reason;
    current.severity = severity;
    current.half_open_at = now + state.period;
    state.current = current;
    state.last_reason = reason;
    state.changed = true;
}

void outlier_detection::readmit(target_state& state, time_point now)
{
    state.current.reset();
    state.window = {};
    state.failures_in_a_row = 0;
    state.slow_since.reset();
    state.returned_at = now;
    state.changed = true;
}

void outlier_detection::record_outcomes(target_state& state, const target_outcomes& outcomes, time_point now)
{
    if (!state.current)
    {
        m_usual.add(outcomes);
        record_closed(state, outcomes, now);
    }
    // Earlier outcomes belong to requests that were sent before the ejection.
    else if (now >= state.current->half_open_at - state.period / settled_divisor)
    {
        record_ejected(state, outcomes, now);
    }
}

void outlier_detection::record_ejected(target_state& state, const target_outcomes& outcomes, time_point now)
{
    auto& current = *state.current;
    current.outcomes += outcomes;
    // A single failure among the successes of gateways that still use the target doesn't renew the ejection.
    const auto allowed_failures = min_failure_ratio * current.outcomes.total();
    if (outcomes.failures > 0 && current.outcomes.failures > allowed_failures)
    {
        eject(state, current.reason, current.severity, now);
    }
    else if (now >= current.half_open_at)
    {
        current.successes += outcomes.successes;
    }
}

outlier_detection::target_state* outlier_detection::find_or_add(const target_instance& target)
{
    const auto [it, added] = m_states.try_emplace(target.id);
    auto& state = it->second;
    if (added || target.started > state.started)
    {
        reset(state, target.started);
    }
    return target.started == state.started ? &state : nullptr;
}

void outlier_detection::record_closed(target_state& state, const target_outcomes& outcomes, time_point now)
{
    state.window.record(outcomes, now);
    // The order of outcomes within a batch is unknown.
    const bool interrupted = outcomes.successes > 0 || now - state.last_failure > failure_run_lifetime;
    const auto before = interrupted ? 0 : state.failures_in_a_row;
    state.failures_in_a_row = outcomes.successes > 0 ? 0 : before + outcomes.failures;
    if (outcomes.failures > 0)
    {
        state.last_failure = now;
        state.failed_again = true;
    }
}

void outlier_detection::record_external(const target_instance& target, const target_outcomes& outcomes,
                                        time_point now)
{
    auto* const state = outcomes.total() > 0 ? find_or_add(target) : nullptr;
    if (state != nullptr)
    {
        state->shared = true;
        record_outcomes(*state, outcomes, now);
    }
}

void outlier_detection::record(const target_instance& target, const target_outcomes& outcomes, time_point now)
{
    auto* const state = outcomes.total() > 0 ? find_or_add(target) : nullptr;
    if (state == nullptr)
    {
        return;
    }
    record_outcomes(*state, outcomes, now);
    if (state->current)
    {
        state->current->probe_sent_at.reset();
    }
}

std::vector<outlier_detection::evaluated_target>
outlier_detection::update_states(const std::vector<const target*>& targets,
                                 const std::vector<double>& time_factors, time_point now)
{
    ++m_evaluation;
    std::vector<evaluated_target> result;
    result.reserve(targets.size());
    for (std::size_t n = 0; n < targets.size(); ++n)
    {
        const auto& record = targets[n]->record;
        auto& state = m_states[record.id];
        if (state.started != record.started)
        {
            reset(state, record.started);
        }
        state.evaluation = m_evaluation;
        const bool valid = n < time_factors.size() && std::isfinite(time_factors[n]);
        result.push_back({.id = &record.id,
                          .state = &state,
                          .time_factor = valid ? time_factors[n] : 1.0,
                          .outcomes = state.window.recent(now)});
    }
    std::erase_if(m_states, [this](const auto& it) { return it.second.evaluation != m_evaluation; });
    return result;
}

std::optional<double> outlier_detection::failure_severity(const evaluated_target& target,
                                                          const failure_comparison& comparison)
{
    // After a fault that all shared, the others succeed again while the run is still there.
    const bool failed_again = std::exchange(target.state->failed_again, false);
    const auto run = failed_again ? target.state->failures_in_a_row : 0;
    return comparison.outlier_ratio(target.outcomes, run);
}

std::optional<double> outlier_detection::latency_severity(const evaluated_target& target, double median,
                                                          time_point now)
{
    auto& slow_since = target.state->slow_since;
    if (target.time_factor < median * latency_threshold)
    {
        slow_since.reset();
        return std::nullopt;
    }
    slow_since = slow_since.value_or(now);
    const bool sustained = now - *slow_since >= min_slow_time;
    return sustained ? std::optional{1 - median / target.time_factor} : std::nullopt;
}

void outlier_detection::finish_probes(const evaluated_target& target, double median, time_point now)
{
    auto& state = *target.state;
    if (state.current->successes < return_successes)
    {
        return;
    }
    const bool is_slow = target.time_factor >= median * latency_threshold;
    if (is_slow && state.current->reason == ejection_reason::latency)
    {
        eject(state, ejection_reason::latency, state.current->severity, now);
        return;
    }
    readmit(state, now);
}

void outlier_detection::eject_worst(std::vector<candidate>& candidates, std::size_t room, time_point now)
{
    // Ties are resolved by id, so that gateways with the same view eject the same targets.
    const auto worse = [](const candidate& a, const candidate& b)
    { return a.severity != b.severity ? a.severity > b.severity : *a.target->id < *b.target->id; };
    const auto count = std::min(room, candidates.size());
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::nth_element(candidates, end, worse);
    std::for_each(candidates.begin(), end,
                  [now](const candidate& it) { eject(*it.target->state, it.reason, it.severity, now); });
}

void outlier_detection::readmit_excess(const std::vector<evaluated_target>& targets, time_point now)
{
    std::vector<const evaluated_target*> ejected;
    for (const auto& it : targets)
    {
        if (it.state->current)
        {
            ejected.push_back(&it);
        }
    }
    const auto limit = targets.size() / targets_per_ejection;
    if (ejected.size() <= limit)
    {
        return;
    }
    const auto end = ejected.begin() + static_cast<std::ptrdiff_t>(limit);
    std::ranges::nth_element(ejected, end, std::ranges::greater{},
                             [](const evaluated_target* it) { return it->state->current->severity; });
    std::for_each(end, ejected.end(), [now](const evaluated_target* it) { readmit(*it->state, now); });
}

failure_comparison outlier_detection::compare_failures(const std::vector<evaluated_target>& targets,
                                                       time_point now)
{
    failure_comparison comparison{m_usual.ratio(now)};
    for (const auto& it : targets)
    {
        if (!it.state->current)
        {
            comparison.add(it.outcomes);
        }
    }
    return comparison;
}

std::optional<outlier_detection::candidate>
outlier_detection::find_fault(const evaluated_target& target, const failure_comparison& comparison,
                              double median, time_point now)
{
    if (now - target.state->returned_at >= healthy_time)
    {
        target.state->period = {};
    }
    const auto slow = latency_severity(target, median, now);
    if (const auto failing = failure_severity(target, comparison))
    {
        return candidate{&target, ejection_reason::failures, *failing};
    }
    return slow ? std::optional{candidate{&target, ejection_reason::latency, *slow}} : std::nullopt;
}

std::vector<ejection_change> outlier_detection::take_changes(const std::vector<evaluated_target>& targets)
{
    std::vector<ejection_change> changes;
    for (const auto& it : targets)
    {
        auto& state = *it.state;
        if (std::exchange(state.changed, false))
        {
            const bool is_ejected = state.current.has_value();
            changes.push_back({.target = *it.id,
                               .ejected = is_ejected,
                               .reason = state.last_reason,
                               .period = is_ejected ? state.period : milliseconds{}});
        }
    }
    return changes;
}

std::vector<ejection_change> outlier_detection::evaluate(const std::vector<const target*>& targets,
                                                         const std::vector<double>& time_factors,
                                                         time_point now)
{
    const auto evaluated = update_states(targets, time_factors, now);
    std::vector<double> factors;
    std::ranges::transform(evaluated, std::back_inserter(factors), &evaluated_target::time_factor);
    const auto median = median_of(std::move(factors));
    const auto comparison = compare_failures(evaluated, now);

    std::vector<candidate> candidates;
    for (const auto& it : evaluated)
    {
        if (it.state->current)
        {
            finish_probes(it, median, now);
        }
        else if (const auto fault = find_fault(it, comparison, median, now))
        {
            candidates.push_back(*fault);
        }
    }
    readmit_excess(evaluated, now);
    const auto limit = targets.size() / targets_per_ejection;
    eject_worst(candidates, limit - std::min(limit, ejected_count()), now);
    return take_changes(evaluated);
}

bool outlier_detection::ejected(const target_instance& target, time_point /*now*/) const
{
    const auto it = m_states.find(target.id);
    return it != m_states.end() && it->second.started == target.started && it->second.current.has_value();
}

bool outlier_detection::wants_probe(const target_instance& target, time_point now)
{
    if (!ejected(target, now))
    {
        return false;
    }
    auto& state = m_states.find(target.id)->second;
    auto& current = *state.current;
    if (!current.probe_from)
    {
        current.probe_from = current.half_open_at + (state.shared ? probe_delay(m_random) : duration{0});
    }
    const bool pending = current.probe_sent_at && now - *current.probe_sent_at < probe_timeout;
    if (now < *current.probe_from || pending || current.successes >= return_successes)
    {
        return false;
    }
    current.probe_sent_at = now;
    return true;
}

std::size_t outlier_detection::ejected_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_states, [](const auto& it) { return it.second.current.has_value(); }));
}

} // namespace masticcourse::gateway
