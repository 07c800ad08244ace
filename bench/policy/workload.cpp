#include "workload.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <numbers>
#include <numeric>
#include <random>
#include <ranges>
#include <span>
#include <stdexcept>

namespace masticcourse::bench
{

namespace
{

using random_source = std::mt19937_64;
using seconds = std::chrono::duration<double>;

/// A range that is drawn from uniformly.
struct range
{
    token_count low = 0;
    token_count high = 0;
};

/// Pauses of one kind: log-normal by median and spread (sigma of the logarithm).
struct pause_kind
{
    const char* tool;
    double weight;
    double median_seconds;
    double spread;
    bool idempotent;
    double hang_rate;
};

/// One kind of program.
struct program_kind
{
    double weight;
    service_class priority;
    range turns;
    range first_input;
    range input;
    range answer;
    /// The chance that a turn starts sub-agents, and how many.
    double fork_rate;
    range children;
    std::span<const pause_kind> pauses;
};

struct mix_plan
{
    std::string_view name;
    std::size_t workspaces;
    std::span<const program_kind> kinds;
};

/// Some programs name a deadline: twice their ideal waiting, and this much more.
constexpr double deadline_rate = 0.3;
constexpr core_duration deadline_extra = std::chrono::seconds{15};
constexpr double longest_pause_seconds = 120;
/// Arrivals swing around their mean, as shifts begin and hearings end.
constexpr double swing_size = 0.25;
constexpr double swing_seconds = 100;

constexpr std::array atlas_planning{pause_kind{"field-app", 0.6, 0.3, 0.8, true, 0.004},
                                    pause_kind{"field-app/order", 0.15, 1.0, 0.6, false, 0.002},
                                    pause_kind{"caller", 0.25, 8, 0.9, true, 0}};
constexpr std::array atlas_survey{pause_kind{"field-app/photo", 0.7, 1.5, 0.7, true, 0.004},
                                  pause_kind{"caller", 0.2, 15, 1.0, true, 0}};
constexpr std::array atlas_kinds{program_kind{0.65,
                                              service_class::assistance,
                                              {5, 14},
                                              {300, 1200},
                                              {60, 400},
                                              {30, 160},
                                              0.08,
                                              {2, 4},
                                              atlas_planning},
                                 program_kind{0.35,
                                              service_class::standard,
                                              {10, 26},
                                              {600, 1500},
                                              {400, 1200},
                                              {40, 140},
                                              0.03,
                                              {2, 3},
                                              atlas_survey}};

constexpr std::array urad_drafting{pause_kind{"podatelna/lookup", 0.4, 0.4, 0.8, true, 0.004},
                                   pause_kind{"podatelna/filing", 0.05, 2.0, 0.5, false, 0.002},
                                   pause_kind{"caller", 0.5, 10, 0.9, true, 0}};
constexpr std::array urad_clerk{pause_kind{"podatelna/lookup", 0.7, 0.4, 0.8, true, 0.004},
                                pause_kind{"podatelna/calendar", 0.2, 0.1, 0.5, true, 0.002},
                                pause_kind{"caller", 0.1, 6, 0.8, true, 0}};
constexpr std::array urad_kinds{
    program_kind{0.6,
                 service_class::assistance,
                 {10, 30},
                 {1500, 4000},
                 {80, 500},
                 {60, 260},
                 0.03,
                 {2, 3},
                 urad_drafting},
    program_kind{
        0.4, service_class::standard, {2, 6}, {200, 600}, {60, 300}, {30, 100}, 0, {0, 0}, urad_clerk}};

constexpr std::array held_out_agent{pause_kind{"search", 0.8, 0.15, 1.0, true, 0.006},
                                    pause_kind{"build", 0.2, 9, 1.1, true, 0.004}};
constexpr std::array held_out_chat{pause_kind{"caller", 1.0, 12, 1.1, true, 0}};
constexpr std::array held_out_batch{pause_kind{"export", 1.0, 0.8, 1.2, true, 0.01}};
constexpr std::array held_out_kinds{
    program_kind{0.3,
                 service_class::standard,
                 {15, 50},
                 {800, 3000},
                 {100, 900},
                 {40, 200},
                 0.06,
                 {2, 5},
                 held_out_agent},
    program_kind{
        0.5, service_class::assistance, {3, 15}, {200, 2500}, {40, 300}, {60, 300}, 0, {0, 0}, held_out_chat},
    program_kind{0.2,
                 service_class::background,
                 {2, 8},
                 {2000, 6000},
                 {500, 2000},
                 {20, 80},
                 0.1,
                 {3, 6},
                 held_out_batch}};

constexpr std::array mixes{mix_plan{"atlas", 6, atlas_kinds}, mix_plan{"urad", 8, urad_kinds},
                           mix_plan{"held_out", 5, held_out_kinds}};

double swing_at(double at)
{
    return 1 + swing_size * std::sin(at * 2 * std::numbers::pi / swing_seconds);
}

core_duration to_core(double length)
{
    return std::chrono::duration_cast<core_duration>(seconds{length});
}

token_count draw(range from, random_source& random)
{
    return std::uniform_int_distribution<token_count>{from.low, from.high}(random);
}

bool draw_chance(double chance, random_source& random)
{
    return std::bernoulli_distribution{chance}(random);
}

template <typename Weighted>
const Weighted& draw_weighted(std::span<const Weighted> all, random_source& random)
{
    const double sum = std::accumulate(all.begin(), all.end(), 0.0,
                                       [](double total, const Weighted& it) { return total + it.weight; });
    double left = std::uniform_real_distribution<double>{0, sum}(random);
    const auto it = std::ranges::find_if(all,
                                         [&](const Weighted& candidate)
                                         {
                                             left -= candidate.weight;
                                             return left <= 0;
                                         });
    return it == all.end() ? all.back() : *it;
}

core_duration draw_length(const pause_kind& kind, random_source& random)
{
    std::lognormal_distribution<double> length{std::log(kind.median_seconds), kind.spread};
    return to_core(std::min(length(random), longest_pause_seconds));
}

pause_plan draw_pause(const program_kind& kind, random_source& random)
{
    const pause_kind& pause = draw_weighted(kind.pauses, random);
    const core_duration length = draw_length(pause, random);
    return {{pause.tool},
            length,
            pause.idempotent,
            draw_chance(pause.hang_rate, random),
            draw_length(pause, random)};
}

core_duration work_of(const turn_plan& turn)
{
    const engine_cost cost;
    const seconds step =
        seconds{cost.decode_step} / cost.max_running + seconds{cost.decode_step_per_sequence};
    return to_core(static_cast<double>(turn.input) / cost.prefill_rate +
                   step.count() * static_cast<double>(turn.answer));
}

core_duration alone_of(const turn_plan& turn)
{
    const engine_cost cost;
    const core_duration step = cost.decode_step + cost.decode_step_per_sequence;
    return to_core(static_cast<double>(turn.input) / cost.prefill_rate) + step * turn.answer;
}

turn_plan draw_turn(const program_kind& kind, range input, random_source& random)
{
    turn_plan turn;
    turn.input = draw(input, random);
    turn.answer = draw(kind.answer, random);
    turn.max_tokens = turn.answer + draw({0, kind.answer.high}, random);
    turn.pause = draw_pause(kind, random);
    return turn;
}

/// Draws programs one after the other; sub-agents go to the end of the list.
class drawer
{
  public:
    drawer(const mix_plan& mix, const workload_options& options)
        : m_mix(mix), m_options(options), m_random(options.seed)
    {
    }

    std::vector<program_plan> draw_all()
    {
        // The mean work of a program sets the arrival rate; it is estimated from a stream of its own.
        const double work = mean_work();
        const double rate = m_options.load * static_cast<double>(m_options.targets) / work;
        double at = 0;
        const double end = seconds{m_options.arrivals}.count();
        while (true)
        {
            at += std::exponential_distribution<double>{rate * swing_at(at)}(m_random);
            if (at >= end)
            {
                break;
            }
            draw_program(core_time{} + to_core(at));
        }
        m_programs.insert(m_programs.end(), m_children.begin(), m_children.end());
        link_children();
        return std::move(m_programs);
    }

  private:
    static constexpr int samples = 400;

    double mean_work()
    {
        random_source kept = m_random;
        m_random.seed(m_options.seed + 77);
        double sum = 0;
        for (int n = 0; n < samples; ++n)
        {
            draw_program({});
        }
        for (const auto& it : m_programs)
        {
            sum += seconds{it.work}.count();
        }
        m_programs.clear();
        m_children.clear();
        m_random = kept;
        return sum / samples;
    }

    void draw_program(core_time arrival)
    {
        const program_kind& kind = draw_weighted(m_mix.kinds, m_random);
        program_plan plan;
        plan.id.value = "p" + std::to_string(m_programs.size());
        plan.workspace = draw_workspace();
        plan.priority = kind.priority;
        plan.arrival = arrival;
        const token_count turns = draw(kind.turns, m_random);
        for (token_count n = 0; n < turns; ++n)
        {
            plan.turns.push_back(draw_turn(kind, n == 0 ? kind.first_input : kind.input, m_random));
            add_cost(plan, n + 1 == turns);
            if (n + 1 < turns && draw_chance(kind.fork_rate, m_random))
            {
                fork(plan, kind);
            }
        }
        set_deadline(plan);
        m_programs.push_back(std::move(plan));
    }

    void set_deadline(program_plan& plan)
    {
        if (draw_chance(deadline_rate, m_random))
        {
            plan.deadline = plan.arrival + plan.ideal + (plan.ideal - plan.paused) + deadline_extra;
        }
    }

    /// Some workspaces send far more than others: the weights fall like 1/n.
    workspace_id draw_workspace()
    {
        std::vector<double> weights(m_mix.workspaces);
        std::iota(weights.begin(), weights.end(), 1.0);
        std::ranges::transform(weights, weights.begin(), [](double n) { return 1 / n; });
        std::discrete_distribution<int> choice{weights.begin(), weights.end()};
        return {"w" + std::to_string(choice(m_random))};
    }

    static void add_cost(program_plan& plan, bool last)
    {
        const turn_plan& turn = plan.turns.back();
        plan.work += work_of(turn);
        plan.ideal += alone_of(turn);
        if (!last)
        {
            plan.ideal += turn.pause.length;
            plan.paused += turn.pause.length;
        }
    }

    void fork(program_plan& parent, const program_kind& kind)
    {
        const token_count count = draw(kind.children, m_random);
        core_duration longest{};
        for (token_count n = 0; n < count; ++n)
        {
            program_plan child;
            child.id.value =
                parent.id.value + "." + std::to_string(parent.turns.size()) + "." + std::to_string(n);
            child.workspace = parent.workspace;
            child.priority = parent.priority;
            child.is_child = true;
            const token_count turns = draw({1, 3}, m_random);
            for (token_count k = 0; k < turns; ++k)
            {
                child.turns.push_back(draw_turn(kind, kind.input, m_random));
                child.turns.back().pause.length = std::min(child.turns.back().pause.length, to_core(1.0));
                add_cost(child, k + 1 == turns);
            }
            longest = std::max(longest, child.ideal);
            parent.work += child.work;
            parent.turns.back().children.push_back(m_children.size());
            m_children.push_back(std::move(child));
        }
        const core_duration beyond_pause =
            std::max(longest - parent.turns.back().pause.length, core_duration{});
        parent.ideal += beyond_pause;
    }

    /// Children were numbered from 0; they stand behind all parents.
    void link_children()
    {
        const std::size_t offset = m_programs.size() - m_children.size();
        for (auto& turn : m_programs | std::views::transform(&program_plan::turns) | std::views::join)
        {
            std::ranges::for_each(turn.children, [offset](std::size_t& it) { it += offset; });
        }
    }

    const mix_plan& m_mix;
    workload_options m_options;
    random_source m_random;
    std::vector<program_plan> m_programs;
    std::vector<program_plan> m_children;
};

} // namespace

std::vector<program_plan> make_workload(const workload_options& options)
{
    const auto mix = std::ranges::find(mixes, options.mix, &mix_plan::name);
    if (mix == mixes.end())
    {
        throw std::invalid_argument{"unknown mix"};
    }
    return drawer{*mix, options}.draw_all();
}

} // namespace masticcourse::bench
