#include "chaos.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace masticcourse::tests
{

namespace
{

using namespace std::chrono_literals;

/// Makes trouble in a world, and ends it again.
class troublemaker
{
  public:
    explicit troublemaker(system_world& world) : m_world(world) {}

    void make_one()
    {
        const std::array<std::function<void()>, 13> faults{
            [&] { kill_entry(); },    [&] { kill_entry(); },   [&] { freeze_entry(); },
            [&] { outage(); },        [&] { lose_answers(); }, [&] { kill_target(); },
            [&] { freeze_target(); }, [&] { lose_backend(); }, [&] { silence(); },
            [&] { cut(); },           [&] { cut_store(); },    [&] { stop_entry(); },
            [&] { hang(); }};
        faults.at(m_world.random(faults.size()))();
        ++m_count;
    }

    /// Ends all faults: everything that is down comes back.
    void heal()
    {
        auto faults = m_world.store().faults();
        faults.outage = false;
        m_world.store().set_faults(faults);
        const auto names = all_names();
        for (const auto& a : names)
        {
            m_world.cut_from_store(a, false);
            std::ranges::for_each(names, [&](const process_name& b) { m_world.heal(a, b); });
        }
        for (std::size_t n = 0; n < m_world.options().entries; ++n)
        {
            m_world.start_entry(n);
        }
        for (std::size_t n = 0; n < targets(); ++n)
        {
            m_world.start_target(n);
            m_world.hang_backend(n, false);
        }
    }

    [[nodiscard]] std::uint64_t count() const
    {
        return m_count;
    }

  private:
    [[nodiscard]] std::size_t targets() const
    {
        return m_world.options().models + m_world.options().tools;
    }

    [[nodiscard]] std::vector<process_name> all_names() const
    {
        std::vector<process_name> names;
        for (std::size_t n = 0; n < m_world.options().entries; ++n)
        {
            names.push_back(m_world.entry_name(n));
        }
        for (std::size_t n = 0; n < targets(); ++n)
        {
            names.push_back(m_world.target_name(n));
        }
        return names;
    }

    std::size_t any_entry()
    {
        return m_world.random(m_world.options().entries);
    }

    std::size_t any_target()
    {
        return m_world.random(targets());
    }

    process_name any_name()
    {
        const auto names = all_names();
        return names[m_world.random(names.size())];
    }

    core_duration any_time(core_duration longest)
    {
        return core_duration{m_world.random(static_cast<std::uint64_t>(longest.count()))};
    }

    void kill_entry()
    {
        const auto entry = any_entry();
        m_world.kill_entry(entry, m_world.random(2) == 0);
        m_world.after(any_time(6s), [this, entry] { m_world.start_entry(entry); });
    }

    void freeze_entry()
    {
        m_world.freeze_entry(any_entry(), any_time(8s));
    }

    void outage()
    {
        set_outage(true);
        m_world.after(any_time(10s), [this] { set_outage(false); });
    }

    void set_outage(bool away)
    {
        auto faults = m_world.store().faults();
        faults.outage = away;
        m_world.store().set_faults(faults);
    }

    void lose_answers()
    {
        auto faults = m_world.store().faults();
        faults.lose_answers += static_cast<std::uint32_t>(1 + m_world.random(5));
        m_world.store().set_faults(faults);
    }

    void kill_target()
    {
        const auto target = any_target();
        m_world.kill_target(target, m_world.random(2) == 0);
        m_world.after(any_time(5s), [this, target] { m_world.start_target(target); });
    }

    void freeze_target()
    {
        m_world.freeze_target(any_target(), any_time(5s));
    }

    void lose_backend()
    {
        m_world.lose_backend_answers(any_target(), 1);
    }

    void silence()
    {
        m_world.silence(any_name(), any_name());
    }

    void cut()
    {
        const auto a = any_name();
        const auto b = any_name();
        m_world.cut(a, b);
        m_world.after(any_time(6s), [this, a, b] { m_world.heal(a, b); });
    }

    void cut_store()
    {
        const auto name = any_name();
        m_world.cut_from_store(name, true);
        m_world.after(any_time(6s), [this, name] { m_world.cut_from_store(name, false); });
    }

    void stop_entry()
    {
        const auto entry = any_entry();
        m_world.stop_entry(entry);
        m_world.after(2s + any_time(6s), [this, entry] { start_once_stopped(entry); });
    }

    /// A drain may take long: the process is started again only when the old one has ended.
    void start_once_stopped(std::size_t entry)
    {
        if (m_world.entry_alive(entry))
        {
            m_world.after(1s, [this, entry] { start_once_stopped(entry); });
            return;
        }
        m_world.start_entry(entry);
    }

    void hang()
    {
        const auto target = any_target();
        m_world.hang_backend(target, true);
        m_world.after(any_time(3s), [this, target] { m_world.hang_backend(target, false); });
    }

    system_world& m_world;
    std::uint64_t m_count = 0;
};

void collect(chaos_report& report, caller_agent& agent, bool finished)
{
    if (!agent.done())
    {
        report.violations.push_back("a caller is not done: " + agent.program().value);
    }
    if (finished)
    {
        agent.check_at_rest();
    }
    report.violations.insert(report.violations.end(), agent.violations().begin(), agent.violations().end());
    report.turns += agent.turns().size();
    report.unknown_turns +=
        static_cast<std::uint64_t>(std::ranges::count_if(agent.turns(), &seen_turn::unknown));
    report.pending_lost += agent.pending_lost();
    report.refusals += agent.refusals();
}

} // namespace

chaos_report run_chaos(const chaos_options& options)
{
    system_world world{{.seed = options.seed,
                        .model_time = options.model_time,
                        .tool_time = options.tool_time,
                        .keep_trace = options.keep_trace}};
    troublemaker trouble{world};
    std::deque<caller_agent> agents;
    for (std::size_t n = 0; n < options.agents; ++n)
    {
        auto& agent =
            agents.emplace_back(world, "agent" + std::to_string(n), agent_options{.turns = options.turns});
        world.after(core_duration{world.random(10'000'000)}, [&agent] { agent.start(); });
    }
    const auto ends = world.now() + options.trouble;
    while (world.now() < ends)
    {
        world.run_for(core_duration{world.random(static_cast<std::uint64_t>(2 * options.mean_gap.count()))});
        trouble.make_one();
    }
    trouble.heal();
    const auto at_rest = [&] { return std::ranges::all_of(agents, &caller_agent::done); };
    const bool finished = world.run_until(at_rest, options.longest);
    chaos_report report;
    if (finished && !world.run_until([&] { return !world.any_memory_held(); }, 30s))
    {
        report.violations.emplace_back("engine memory is held for programs that are gone");
    }
    world.run_for(5s);
    if (world.events(event_id::journal_damaged) > 0)
    {
        report.violations.emplace_back("a journal that nobody damaged can't be read");
    }
    std::ranges::for_each(agents, [&](caller_agent& it) { collect(report, it, finished); });
    report.faults = trouble.count();
    report.takeovers = world.events(event_id::shard_claimed);
    report.elapsed = world.now() - core_time{};
    report.trace = report.violations.empty() ? std::string{} : world.trace();
    return report;
}

} // namespace masticcourse::tests
