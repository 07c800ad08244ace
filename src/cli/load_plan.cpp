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

/// Seeded random numbers. The distributions are implemented here because those of the standard library differ
/// between implementations, which would make plans depend on the platform.
class seeded_random
{
  public:
    explicit seeded_random(std::uint64_t seed) : m_engine(seed) {}

    /// @return a uniformly distributed number in [0, 1)
    double uniform()
    {
        constexpr unsigned dropped_bits = 11;
        constexpr double scale = 0x1p-53;
        return static_cast<double>(m_engine() >> dropped_bits) * scale;
    }

    /// @return a uniformly distributed integer in [@a first, @a last]
    std::size_t uniform_int(std::size_t first, std::size_t last)
    {
        return first + static_cast<std::size_t>(uniform() * static_cast<double>(last - first + 1));
    }

    bool bernoulli(double probability)
    {
        return uniform() < probability;
    }

    /// @return an exponentially distributed number with the given mean
    double exponential(double mean)
    {
        return -mean * std::log1p(-uniform());
    }

  private:
    std::mt19937_64 m_engine;
};

/// Workload parameters of the programs of one service class.
struct class_profile
{
    service_class priority;
    /// Relative frequency of such programs.
    double weight;
    std::size_t min_turns;
    std::size_t max_turns;
    std::size_t min_words;
    std::size_t max_words;
    token_count answer_tokens;
    double mean_pause_ms;
    double tool_share;
    double sub_agent_share;
};

/// Workload of one customer, with one profile per service class.
struct customer_mix
{
    std::string_view customer;
    std::array<class_profile, 3> profiles;
};

/// Workload mixes by customer. The first one is the default for customers that are not listed.
///
/// At atlas-voie-verte, foremen's plans (assistance) are short and urgent, because a line block waits for
/// them, and photo reviews (standard) are long. At urad, dialogues with claimants are long, keep their
/// context and have long pauses.
constexpr std::array customer_mixes{
    customer_mix{"",
                 {class_profile{service_class::assistance, 0.6, 5, 12, 20, 80, 60, 1500, 0.25, 0.06},
                  class_profile{service_class::standard, 0.3, 8, 20, 30, 120, 80, 800, 0.30, 0.10},
                  class_profile{service_class::background, 0.1, 2, 5, 60, 200, 120, 100, 0.40, 0.00}}},
    customer_mix{"atlas-voie-verte",
                 {class_profile{service_class::assistance, 0.5, 4, 9, 20, 60, 50, 700, 0.35, 0.08},
                  class_profile{service_class::standard, 0.4, 10, 24, 60, 200, 60, 1000, 0.20, 0.10},
                  class_profile{service_class::background, 0.1, 2, 5, 60, 200, 120, 100, 0.40, 0.00}}},
    customer_mix{"urad",
                 {class_profile{service_class::assistance, 0.7, 8, 20, 30, 140, 80, 2000, 0.20, 0.04},
                  class_profile{service_class::standard, 0.2, 6, 14, 30, 120, 80, 1200, 0.25, 0.06},
                  class_profile{service_class::background, 0.1, 2, 6, 20, 60, 40, 200, 0.60, 0.00}}},
};

constexpr double idempotent_tool_share = 0.5;
constexpr double max_pause_factor = 4;
constexpr std::size_t min_sub_agent_turns = 2;
constexpr std::size_t max_sub_agent_turns = 4;
constexpr std::array<std::string_view, 12> vocabulary{"slot",  "bank",   "photo", "culvert",
                                                      "claim", "notice", "wages", "hearing",
                                                      "crew",  "fence",  "date",  "clear"};

const customer_mix& find_mix(std::string_view customer)
{
    const auto* const it = std::ranges::find(customer_mixes, customer, &customer_mix::customer);
    return it != customer_mixes.end() ? *it : customer_mixes.front();
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

/// Generates the programs of a load run in order of their start times.
class program_planner
{
  public:
    program_planner(const deployment_settings& settings, const load_options& options)
        : m_settings(settings), m_options(options), m_mix(find_mix(settings.customer)),
          m_random(options.seed), m_models(services_of(settings, call_kind::model)),
          m_tools(services_of(settings, call_kind::tool))
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
        std::chrono::duration<double> arrival{m_random.exponential(1 / m_options.rate)};
        while (arrival < end)
        {
            programs.push_back(draw_program(std::chrono::duration_cast<std::chrono::milliseconds>(arrival)));
            arrival += std::chrono::duration<double>{m_random.exponential(1 / m_options.rate)};
        }
        return programs;
    }

  private:
    planned_program draw_program(std::chrono::milliseconds start)
    {
        const auto workspace = draw_workspace();
        const auto& profile = profile_of(m_settings.workspaces[workspace].priority);
        return {.start = start,
                .workspace = workspace,
                .budget = m_settings.workspaces[workspace].max_budget,
                .turns =
                    draw_turns(profile, m_random.uniform_int(profile.min_turns, profile.max_turns), true)};
    }

    [[nodiscard]] const class_profile& profile_of(service_class priority) const
    {
        return *std::ranges::find(m_mix.profiles, priority, &class_profile::priority);
    }

    std::size_t draw_workspace()
    {
        double total = 0;
        for (const auto& it : m_settings.workspaces)
        {
            total += profile_of(it.priority).weight;
        }
        double remaining = m_random.uniform() * total;
        for (std::size_t n = 0; n < m_settings.workspaces.size(); ++n)
        {
            remaining -= profile_of(m_settings.workspaces[n].priority).weight;
            if (remaining < 0)
            {
                return n;
            }
        }
        return m_settings.workspaces.size() - 1;
    }

    std::vector<planned_turn> draw_turns(const class_profile& profile, std::size_t count,
                                         bool allow_sub_agents)
    {
        std::vector<planned_turn> turns;
        turns.push_back(draw_model_turn(profile));
        while (turns.size() < count)
        {
            planned_turn next = draw_turn(profile, allow_sub_agents);
            next.pause = draw_pause(profile);
            turns.push_back(std::move(next));
        }
        return turns;
    }

    planned_turn draw_turn(const class_profile& profile, bool allow_sub_agents)
    {
        if (allow_sub_agents && m_random.bernoulli(profile.sub_agent_share))
        {
            planned_turn turn;
            turn.sub_agent =
                draw_turns(profile, m_random.uniform_int(min_sub_agent_turns, max_sub_agent_turns), false);
            return turn;
        }
        if (!m_tools.empty() && m_random.bernoulli(profile.tool_share))
        {
            return draw_tool_turn();
        }
        return draw_model_turn(profile);
    }

    planned_turn draw_model_turn(const class_profile& profile)
    {
        return {.service = m_models[m_random.uniform_int(0, m_models.size() - 1)],
                .input = draw_text(m_random.uniform_int(profile.min_words, profile.max_words)),
                .max_tokens = profile.answer_tokens};
    }

    planned_turn draw_tool_turn()
    {
        constexpr std::size_t tool_words = 8;
        return {.service = m_tools[m_random.uniform_int(0, m_tools.size() - 1)],
                .kind = call_kind::tool,
                .input = draw_text(tool_words),
                .idempotent = m_random.bernoulli(idempotent_tool_share)};
    }

    std::chrono::milliseconds draw_pause(const class_profile& profile)
    {
        const double max_pause = profile.mean_pause_ms * max_pause_factor;
        const double pause = std::min(m_random.exponential(profile.mean_pause_ms), max_pause);
        return std::chrono::milliseconds{std::llround(pause * m_options.pause_scale)};
    }

    std::string draw_text(std::size_t count)
    {
        std::string text;
        for (std::size_t n = 0; n < count; ++n)
        {
            text.append(text.empty() ? "" : " ")
                .append(vocabulary.at(m_random.uniform_int(0, vocabulary.size() - 1)));
        }
        // The suffix makes each input unique: identical calls would trigger loop detection.
        return text + " " + std::to_string(m_next_input++);
    }

    const deployment_settings& m_settings;
    load_options m_options;
    const customer_mix& m_mix;
    seeded_random m_random;
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
