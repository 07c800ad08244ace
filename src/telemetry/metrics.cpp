#include "masticcourse/telemetry/metrics.hpp"

#include <array>
#include <map>
#include <stdexcept>
#include <string_view>
#include <variant>

namespace masticcourse
{

namespace
{

constexpr double us_per_second = 1e6;

std::string escape_label(const std::string& value)
{
    std::string text;
    for (const char c : value)
    {
        if (c == '\n')
        {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
        {
            text += '\\';
        }
        text += c;
    }
    return text;
}

std::string labels_text(const std::vector<metric_label>& labels)
{
    std::string text;
    for (const auto& it : labels)
    {
        text.append(text.empty() ? "" : ",").append(it.key).append("=\"").append(escape_label(it.value));
        text += '"';
    }
    return text;
}

std::string in_braces(const std::string& labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

std::string seconds_text(std::chrono::microseconds value)
{
    return std::to_string(static_cast<double>(value.count()) / us_per_second);
}

void render_value(std::string& out, const std::string& name, const std::string& labels, const counter& value)
{
    out += name + in_braces(labels) + " " + std::to_string(value.value()) + "\n";
}

void render_value(std::string& out, const std::string& name, const std::string& labels, const gauge& value)
{
    out += name + in_braces(labels) + " " + std::to_string(value.value()) + "\n";
}

void render_bucket(std::string& out, const std::string& name, const std::string& labels,
                   const std::string& upper, std::uint64_t cumulative)
{
    const std::string bound = (labels.empty() ? "" : labels + ",") + "le=\"" + upper + "\"";
    out += name + "_bucket" + in_braces(bound) + " " + std::to_string(cumulative) + "\n";
}

void render_value(std::string& out, const std::string& name, const std::string& labels,
                  const latency_histogram& value)
{
    std::uint64_t last = 0;
    for (const auto& it : value.buckets())
    {
        // Most buckets are empty and don't change the cumulative count, so they are omitted.
        if (it.cumulative != last)
        {
            render_bucket(out, name, labels, seconds_text(it.upper), it.cumulative);
            last = it.cumulative;
        }
    }
    const auto count = value.count();
    render_bucket(out, name, labels, "+Inf", count);
    out += name + "_sum" + in_braces(labels) + " " + seconds_text(value.sum()) + "\n";
    out += name + "_count" + in_braces(labels) + " " + std::to_string(count) + "\n";
}

/// Time series of one metric, keyed by the rendered labels.
template <typename Metric>
using series = std::map<std::string, std::unique_ptr<Metric>>;

using any_series = std::variant<series<counter>, series<gauge>, series<latency_histogram>>;

struct family
{
    std::string help;
    any_series values;
};

std::string_view type_name(const any_series& values)
{
    constexpr std::array<std::string_view, 3> names{"counter", "gauge", "histogram"};
    return names.at(values.index());
}

} // namespace

struct metrics_registry::state
{
    std::map<std::string, family> families;

    template <typename Metric>
    Metric& get(const std::string& name, const std::string& help, const std::vector<metric_label>& labels)
    {
        const auto [it, added] = families.try_emplace(name, family{help, series<Metric>{}});
        auto* const values = std::get_if<series<Metric>>(&it->second.values);
        if (values == nullptr)
        {
            throw std::logic_error("metric " + name + " is already registered with a different type");
        }
        auto& metric = (*values)[labels_text(labels)];
        if (!metric)
        {
            metric = std::make_unique<Metric>();
        }
        return *metric;
    }
};

metrics_registry::metrics_registry() : m_state(std::make_unique<state>()) {}

metrics_registry::~metrics_registry() = default;

counter& metrics_registry::get_counter(const std::string& name, const std::string& help,
                                       const std::vector<metric_label>& labels)
{
    const std::lock_guard lock{m_mutex};
    return m_state->get<counter>(name, help, labels);
}

gauge& metrics_registry::get_gauge(const std::string& name, const std::string& help,
                                   const std::vector<metric_label>& labels)
{
    const std::lock_guard lock{m_mutex};
    return m_state->get<gauge>(name, help, labels);
}

latency_histogram& metrics_registry::get_histogram(const std::string& name, const std::string& help,
                                                   const std::vector<metric_label>& labels)
{
    const std::lock_guard lock{m_mutex};
    return m_state->get<latency_histogram>(name, help, labels);
}

std::string metrics_registry::render() const
{
    const std::lock_guard lock{m_mutex};
    std::string out;
    for (const auto& [name, metric_family] : m_state->families)
    {
        out.append("# HELP ")
            .append(name)
            .append(" ")
            .append(metric_family.help)
            .append("\n# TYPE ")
            .append(name);
        out.append(" ").append(type_name(metric_family.values)).append("\n");
        const auto render_series = [&](const auto& values)
        {
            for (const auto& [labels, value] : values)
            {
                render_value(out, name, labels, *value);
            }
        };
        std::visit(render_series, metric_family.values);
    }
    return out;
}

} // namespace masticcourse
