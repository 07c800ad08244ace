#include "load_report.hpp"

#include "text_table.hpp"

#include "masticcourse/model/names.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace masticcourse::detail
{

namespace
{

constexpr std::array quantiles{0.50, 0.95, 0.99};

/// Latencies of one service class, or of all programs.
struct latency_group
{
    std::string name;
    std::vector<std::chrono::milliseconds> values;
};

std::vector<latency_group> latency_groups(const load_report& report)
{
    std::vector<latency_group> rows{{"all", {}}};
    for (const auto name : service_class_names())
    {
        rows.push_back({std::string{name}, {}});
    }
    for (const auto& it : report.samples)
    {
        rows.front().values.push_back(it.latency);
        rows.at(static_cast<std::size_t>(it.priority) + 1).values.push_back(it.latency);
    }
    return rows;
}

/// A counter and its name in the table and JSON reports.
struct named_count
{
    std::string_view name;
    std::uint64_t load_counts::*member;
};

constexpr std::array named_counts{
    named_count{"programs_started", &load_counts::programs_started},
    named_count{"programs_finished", &load_counts::programs_finished},
    named_count{"programs_failed", &load_counts::programs_failed},
    named_count{"calls_finished", &load_counts::calls_finished},
    named_count{"calls_failed", &load_counts::calls_failed},
    named_count{"refusals", &load_counts::refusals},
    named_count{"repeats", &load_counts::repeats},
    named_count{"outcomes_unknown", &load_counts::outcomes_unknown},
    named_count{"prompt_tokens", &load_counts::prompt_tokens},
    named_count{"completion_tokens", &load_counts::completion_tokens},
    named_count{"seen_tokens", &load_counts::seen_tokens},
    named_count{"wasted_tokens", &load_counts::wasted_tokens},
};

std::string quantile_text(const latency_group& row, double q)
{
    const auto value = quantile_of(row.values, q);
    return value ? std::to_string(value->count()) : "-";
}

std::string percent_text(double share)
{
    constexpr double percent = 100;
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << share * percent << "%";
    return text.str();
}

} // namespace

std::optional<std::chrono::milliseconds> quantile_of(std::vector<std::chrono::milliseconds> values, double q)
{
    if (values.empty())
    {
        return std::nullopt;
    }
    std::ranges::sort(values);
    const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

double wasted_share(const load_counts& counts)
{
    return counts.seen_tokens == 0
               ? 0
               : static_cast<double>(counts.wasted_tokens) / static_cast<double>(counts.seen_tokens);
}

std::string report_table(const load_report& report)
{
    std::vector<table_line> latencies{{"PROGRAM LATENCY (MS)", "COUNT", "P50", "P95", "P99"}};
    for (const auto& it : latency_groups(report))
    {
        table_line line{it.name, std::to_string(it.values.size())};
        for (const auto q : quantiles)
        {
            line.push_back(quantile_text(it, q));
        }
        latencies.push_back(std::move(line));
    }
    std::vector<table_line> counts{{"COUNT OF", ""}};
    for (const auto& it : named_counts)
    {
        counts.push_back({std::string{it.name}, std::to_string(report.counts.*it.member)});
    }
    counts.push_back({"wasted cache", percent_text(wasted_share(report.counts))});
    return render_table(latencies) + "\n" + render_table(counts);
}

std::string report_json(const load_report& report)
{
    nlohmann::json document;
    for (const auto& it : named_counts)
    {
        document["counts"][std::string{it.name}] = report.counts.*it.member;
    }
    document["wasted_share"] = wasted_share(report.counts);
    for (const auto& it : latency_groups(report))
    {
        nlohmann::json row{{"count", it.values.size()}};
        constexpr std::array<const char*, 3> names{"p50", "p95", "p99"};
        for (std::size_t n = 0; n < names.size(); ++n)
        {
            const auto value = quantile_of(it.values, quantiles.at(n));
            row[names.at(n)] = value ? nlohmann::json(value->count()) : nlohmann::json();
        }
        document["latency_ms"][it.name] = std::move(row);
    }
    return document.dump() + "\n";
}

} // namespace masticcourse::detail
