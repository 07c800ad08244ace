#include "measures.hpp"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <ranges>

namespace masticcourse::bench
{

namespace
{

using seconds = std::chrono::duration<double>;

/// A program is in time if it takes so many times its ideal waiting, and this much more.
constexpr int in_time_factor = 3;
constexpr core_duration in_time_extra = std::chrono::seconds{30};
constexpr double thousand = 1000;
/// Programs that arrive while the fleet is still filling are not measured.
constexpr double warm_up_part = 0.25;

double slowdown_of(const program_end& end)
{
    const seconds ideal = end.plan->ideal - end.plan->paused;
    return seconds{end.latency - end.plan->paused} / ideal;
}

bool in_time(const program_end& end)
{
    const auto& plan = *end.plan;
    if (plan.deadline)
    {
        return end.finished && plan.arrival + end.latency <= *plan.deadline;
    }
    return end.finished &&
           end.latency <= (plan.ideal - plan.paused) * in_time_factor + plan.paused + in_time_extra;
}

double mean(const std::vector<double>& values)
{
    const auto size = static_cast<double>(std::max<std::size_t>(values.size(), 1));
    return std::accumulate(values.begin(), values.end(), 0.0) / size;
}

double jain(const std::vector<double>& values)
{
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    const double squares = std::inner_product(values.begin(), values.end(), values.begin(), 0.0);
    return squares > 0 ? sum * sum / (static_cast<double>(values.size()) * squares) : 1;
}

double fairness_of(const std::vector<program_end>& programs)
{
    std::map<workspace_id, std::vector<double>> slowdowns;
    for (const auto& end : programs)
    {
        slowdowns[end.plan->workspace].push_back(slowdown_of(end));
    }
    std::vector<double> means;
    std::ranges::transform(slowdowns | std::views::values, std::back_inserter(means), mean);
    return jain(means);
}

template <typename Value>
std::vector<double> each(const std::vector<program_end>& programs, Value value)
{
    std::vector<double> values;
    std::ranges::transform(programs, std::back_inserter(values), value);
    return values;
}

std::vector<program_end> of_class(const std::vector<program_end>& programs, service_class priority)
{
    std::vector<program_end> chosen;
    std::ranges::copy_if(programs, std::back_inserter(chosen),
                         [&](const program_end& it) { return it.plan->priority == priority; });
    return chosen;
}

/// The latencies of calls that ended in [from, to), in seconds.
std::vector<double> latencies_in(const std::vector<call_end>& calls, core_time from, core_time to)
{
    std::vector<double> latencies;
    for (const auto& it : calls)
    {
        if (it.at >= from && it.at < to)
        {
            latencies.push_back(seconds{it.latency}.count());
        }
    }
    return latencies;
}

/// The end of the last ten seconds, counted from the fault's begin, in which calls were slower than before.
double recovery_of(const run_record& record, core_time begins, double before)
{
    constexpr core_duration bucket = std::chrono::seconds{10};
    constexpr double as_good = 1.5;
    core_time recovered = begins;
    const core_time end = core_time{} + record.arrivals;
    for (core_time at = begins; at < end; at += bucket)
    {
        if (quantile(latencies_in(record.calls, at, at + bucket), 0.95) > before * as_good)
        {
            recovered = at + bucket;
        }
    }
    return seconds{recovered - begins}.count();
}

/// The mean of one column.
template <typename Row>
double column_mean(const std::vector<Row>& rows, double Row::*column)
{
    std::vector<double> values;
    std::ranges::transform(rows, std::back_inserter(values), column);
    return mean(values);
}

double finished_p95(const std::vector<program_end>& programs)
{
    std::vector<double> latencies;
    for (const auto& it : programs | std::views::filter(&program_end::finished))
    {
        latencies.push_back(seconds{it.latency}.count());
    }
    return quantile(latencies, 0.95);
}

double deadlines_met(const std::vector<program_end>& programs)
{
    const auto has_deadline = [](const program_end& it) { return it.plan->deadline.has_value(); };
    const auto all = std::ranges::count_if(programs, has_deadline);
    const auto met = std::ranges::count_if(programs, [&](const program_end& it)
                                           { return has_deadline(it) && in_time(it); });
    return all > 0 ? static_cast<double>(met) / static_cast<double>(all) : 1;
}

} // namespace

void waste_counter::on_call(const program_id& program, std::size_t target, const token_usage& usage,
                            token_count known)
{
    m_recomputed += std::max<token_count>(known - usage.cached, 0);
    auto& all = m_programs[program];
    auto& here = all.at[target];
    all.last = target;
    m_unused += std::max<token_count>(here.stored - std::max(usage.cached, here.found), 0);
    here = {.stored = usage.prompt + usage.completion, .found = usage.cached};
}

void waste_counter::on_end(const program_id& program)
{
    const auto it = m_programs.find(program);
    if (it == m_programs.end())
    {
        return;
    }
    for (const auto& [target, held] : it->second.at)
    {
        m_unused += target == it->second.last ? 0 : held.stored - held.found;
    }
    m_programs.erase(it);
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
    {
        return 0;
    }
    const auto last = static_cast<double>(values.size() - 1);
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>(last * part);
    std::ranges::nth_element(values, nth);
    return *nth;
}

run_summary summarise(const run_record& record)
{
    std::vector<program_end> measured;
    std::ranges::copy_if(
        record.programs, std::back_inserter(measured),
        [&](const program_end& it)
        { return seconds{it.plan->arrival.time_since_epoch()} >= warm_up_part * seconds{record.arrivals}; });
    const auto latencies = each(measured, [](const auto& it) { return seconds{it.latency}.count(); });
    const auto waits =
        each(measured, [](const auto& it) { return seconds{it.latency - it.plan->paused}.count(); });
    const auto in_time_work =
        each(measured, [](const auto& it) { return in_time(it) ? seconds{it.plan->work}.count() : 0.0; });
    const auto unfinished = std::ranges::count(measured, false, &program_end::finished);
    const auto programs = static_cast<double>(std::max<std::size_t>(record.programs.size(), 1));
    const double engine_time =
        seconds{record.arrivals}.count() * (1 - warm_up_part) * static_cast<double>(record.targets);
    return {.p50 = quantile(latencies, 0.5),
            .p95 = quantile(latencies, 0.95),
            .p99 = quantile(latencies, 0.99),
            .finished_p95 = finished_p95(measured),
            .deadlines_met = deadlines_met(measured),
            .waiting_p95 = quantile(waits, 0.95),
            .slowdown = mean(each(measured, slowdown_of)),
            .assistance = mean(each(of_class(measured, service_class::assistance), slowdown_of)),
            .recomputed = static_cast<double>(record.recomputed) / programs / thousand,
            .unused = static_cast<double>(record.unused) / programs / thousand,
            .goodput = std::accumulate(in_time_work.begin(), in_time_work.end(), 0.0) / engine_time,
            .refused = static_cast<double>(record.refusals) / programs,
            .unfinished = static_cast<double>(unfinished) /
                          static_cast<double>(std::max<std::size_t>(measured.size(), 1)),
            .fairness = fairness_of(measured)};
}

fault_summary summarise_fault(const run_record& record, core_time begins, core_time ends)
{
    constexpr core_duration window = std::chrono::seconds{100};
    const auto p95 = [&](core_time from, core_time to)
    { return quantile(latencies_in(record.calls, from, to), 0.95); };
    std::vector<double> programs;
    std::size_t unfinished = 0;
    for (const auto& it : record.programs)
    {
        if (it.plan->arrival < ends && it.plan->arrival + it.latency > begins)
        {
            programs.push_back(seconds{it.latency}.count());
            unfinished += it.finished ? 0 : 1;
        }
    }
    const double before = p95(begins - window, begins);
    const auto met = static_cast<double>(std::max<std::size_t>(programs.size(), 1));
    return {.before = before,
            .during = p95(begins, ends),
            .after = p95(ends, ends + window),
            .recovery = recovery_of(record, begins, before),
            .program_p95 = quantile(programs, 0.95),
            .unfinished = static_cast<double>(unfinished) / met};
}

fault_summary mean_of(const std::vector<fault_summary>& runs)
{
    const auto over = [&](double fault_summary::*column) { return column_mean(runs, column); };
    return {.before = over(&fault_summary::before),
            .during = over(&fault_summary::during),
            .after = over(&fault_summary::after),
            .recovery = over(&fault_summary::recovery),
            .program_p95 = over(&fault_summary::program_p95),
            .unfinished = over(&fault_summary::unfinished)};
}

run_summary mean_of(const std::vector<run_summary>& runs)
{
    const auto over = [&](double run_summary::*column) { return column_mean(runs, column); };
    return {.p50 = over(&run_summary::p50),
            .p95 = over(&run_summary::p95),
            .p99 = over(&run_summary::p99),
            .finished_p95 = over(&run_summary::finished_p95),
            .deadlines_met = over(&run_summary::deadlines_met),
            .waiting_p95 = over(&run_summary::waiting_p95),
            .slowdown = over(&run_summary::slowdown),
            .assistance = over(&run_summary::assistance),
            .recomputed = over(&run_summary::recomputed),
            .unused = over(&run_summary::unused),
            .goodput = over(&run_summary::goodput),
            .refused = over(&run_summary::refused),
            .unfinished = over(&run_summary::unfinished),
            .fairness = over(&run_summary::fairness)};
}

} // namespace masticcourse::bench
