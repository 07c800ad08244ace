#include "load_plan.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <random>
#include <string_view>

namespace masticcourse::detail
{

namespace
{

/// Draws numbers by formulas of our own: the standard's distributions differ between libraries.
class seeded_draw
{
  public:
    explicit seeded_draw(std::uint64_t seed) : m_engine(seed) {}

    /// @return from 0 up to, but without, 1
    double fraction()
    {
        constexpr unsigned dropped_bits = 11;
        constexpr double scale = 0x1p-53;
        return static_cast<double>(m_engine() >> dropped_bits) * scale;
    }

    /// @return from @a least to @a most
    std::size_t between(std::size_t least, std::size_t most)
    {
        return least + static_cast<std::size_t>(fraction() * static_cast<double>(most - least + 1));
    }

    bool chance(double probability)
    {
        return fraction() < probability;
    }

    /// @return an exponentially distributed number
    double exponential(double mean)
    {
        return -mean * std::log1p(-fraction());
    }

  private:
    std::mt19937_64 m_engine;
};

/// What programs of one class look like.
struct mix_row
{
    service_class priority;
    /// How often such a program starts, against the others.
    double weight;
    std::size_t least_turns;
    std::size_t most_turns;
    std::size_t least_words;
    std::size_t most_words;
    token_count answer_tokens;
    double mean_pause_ms;
    double tool_share;
    double sub_agent_share;
};

/// The programs of one customer, one row for each class.
struct customer_mix
{
    std::string_view customer;
    std::array<mix_row, 3> rows;
};

/// Foremen's plans are short and have a line block waiting for them; photo reviews are long. Claimants'
/// exchanges are long and remembered, with long pauses. The first row serves customers that the table doesn't
/// know.
constexpr std::array mixes{
    customer_mix{"",
                 {mix_row{service_class::assistance, 0.6, 5, 12, 20, 80, 60, 1500, 0.25, 0.06},
                  mix_row{service_class::standard, 0.3, 8, 20, 30, 120, 80, 800, 0.30, 0.10},
                  mix_row{service_class::background, 0.1, 2, 5, 60, 200, 120, 100, 0.40, 0.00}}},
    customer_mix{"atlas-voie-verte",
                 {mix_row{service_class::assistance, 0.5, 4, 9, 20, 60, 50, 700, 0.35, 0.08},
                  mix_row{service_class::standard, 0.4, 10, 24, 60, 200, 60, 1000, 0.20, 0.10},
                  mix_row{service_class::background, 0.1, 2, 5, 60, 200, 120, 100, 0.40, 0.00}}},
    customer_mix{"urad",
                 {mix_row{service_class::assistance, 0.7, 8, 20, 30, 140, 80, 2000, 0.20, 0.04},
                  mix_row{service_class::standard, 0.2, 6, 14, 30, 120, 80, 1200, 0.25, 0.06},
                  mix_row{service_class::background, 0.1, 2, 6, 20, 60, 40, 200, 0.60, 0.00}}},
};

constexpr double repeatable_tool_share = 0.5;
constexpr double max_pause_factor = 4;
constexpr std::size_t least_sub_turns = 2;
constexpr std::size_t most_sub_turns = 4;
constexpr std::array<std::string_view, 12> words{"slot",  "bank",    "photo", "culvert", "claim", "notice",
                                                 "wages", "hearing", "crew",  "fence",   "date",  "clear"};

const customer_mix& mix_of(std::string_view customer)
{
    const auto* const it = std::ranges::find(mixes, customer, &customer_mix::customer);
    return it != mixes.end() ? *it : mixes.front();
}

std::vector<service_name> services_of(const deployment_settings& settings, call_kind kind)
{
    std::vector<service_name> names;
    for (const auto& it : settings.services)
    {
        if (it.kind == kind)
        {
            names.push_back(it.name);
        }
    }
    return names;
}

/// Draws one program after the other.
class program_planner
{
  public:
    program_planner(const deployment_settings& settings, const load_options& options)
        : m_settings(settings), m_options(options), m_mix(mix_of(settings.customer)), m_draw(options.seed),
          m_models(services_of(settings, call_kind::model)), m_tools(services_of(settings, call_kind::tool))
    {
    }

    std::vector<planned_program> plan()
    {
        std::vector<planned_program> programs;
        if (m_settings.workspaces.empty() || m_models.empty() || m_options.rate <= 0)
        {
            return programs;
        }
        const std::chrono::duration<double> end = m_options.duration;
        std::chrono::duration<double> at{m_draw.exponential(1 / m_options.rate)};
        while (at < end)
        {
            programs.push_back(draw_program(std::chrono::duration_cast<std::chrono::milliseconds>(at)));
            at += std::chrono::duration<double>{m_draw.exponential(1 / m_options.rate)};
        }
        return programs;
    }

  private:
    planned_program draw_program(std::chrono::milliseconds start)
    {
        const auto workspace = draw_workspace();
        const auto& row = row_of(m_settings.workspaces[workspace].priority);
        return {.start = start,
                .workspace = workspace,
                .budget = m_settings.workspaces[workspace].max_budget,
                .turns = draw_turns(row, m_draw.between(row.least_turns, row.most_turns), true)};
    }

    [[nodiscard]] const mix_row& row_of(service_class priority) const
    {
        return *std::ranges::find(m_mix.rows, priority, &mix_row::priority);
    }

    std::size_t draw_workspace()
    {
        double total = 0;
        for (const auto& it : m_settings.workspaces)
        {
            total += row_of(it.priority).weight;
        }
        double left = m_draw.fraction() * total;
        for (std::size_t n = 0; n < m_settings.workspaces.size(); ++n)
        {
            left -= row_of(m_settings.workspaces[n].priority).weight;
            if (left < 0)
            {
                return n;
            }
        }
        return m_settings.workspaces.size() - 1;
    }

    std::vector<planned_turn> draw_turns(const mix_row& row, std::size_t count, bool may_have_sub_agents)
    {
        std::vector<planned_turn> turns;
        turns.push_back(draw_model_turn(row));
        while (turns.size() < count)
        {
            planned_turn next = draw_next(row, may_have_sub_agents);
            next.pause = draw_pause(row);
            turns.push_back(std::move(next));
        }
        return turns;
    }

    planned_turn draw_next(const mix_row& row, bool may_have_sub_agents)
    {
        if (may_have_sub_agents && m_draw.chance(row.sub_agent_share))
        {
            planned_turn turn;
            turn.sub_agent = draw_turns(row, m_draw.between(least_sub_turns, most_sub_turns), false);
            return turn;
        }
        if (!m_tools.empty() && m_draw.chance(row.tool_share))
        {
            return draw_tool_turn();
        }
        return draw_model_turn(row);
    }

    planned_turn draw_model_turn(const mix_row& row)
    {
        return {.service = m_models[m_draw.between(0, m_models.size() - 1)],
                .input = draw_text(m_draw.between(row.least_words, row.most_words)),
                .max_tokens = row.answer_tokens};
    }

    planned_turn draw_tool_turn()
    {
        constexpr std::size_t tool_words = 8;
        return {.service = m_tools[m_draw.between(0, m_tools.size() - 1)],
                .kind = call_kind::tool,
                .input = draw_text(tool_words),
                .idempotent = m_draw.chance(repeatable_tool_share)};
    }

    std::chrono::milliseconds draw_pause(const mix_row& row)
    {
        const double longest = row.mean_pause_ms * max_pause_factor;
        const double pause = std::min(m_draw.exponential(row.mean_pause_ms), longest);
        return std::chrono::milliseconds{std::llround(pause * m_options.pause_scale)};
    }

    std::string draw_text(std::size_t count)
    {
        std::string text;
        for (std::size_t n = 0; n < count; ++n)
        {
            text.append(text.empty() ? "" : " ").append(words.at(m_draw.between(0, words.size() - 1)));
        }
        // No two inputs are alike: a repeated call would look like a loop.
        return text + " " + std::to_string(m_next_input++);
    }

    const deployment_settings& m_settings;
    load_options m_options;
    const customer_mix& m_mix;
    seeded_draw m_draw;
    std::vector<service_name> m_models;
    std::vector<service_name> m_tools;
    std::size_t m_next_input = 0;
};

} // namespace

std::vector<planned_program> plan_load(const deployment_settings& settings, const load_options& options)
{
    return program_planner{settings, options}.plan();
}

} // namespace masticcourse::detail
