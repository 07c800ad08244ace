// The system world: what goes wrong on command.
#include "system_node.hpp"

#include <algorithm>

namespace masticcourse::tests
{

void system_world::kill_entry(std::size_t entry, bool silent)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: kill entry " + std::to_string(entry) +
         (silent ? " silent" : ""));
    auto& it = *m_nodes[entry];
    if (!it.alive())
    {
        return;
    }
    break_wires(it, silent);
    it.entry.reset();
    end_callers(entry);
}

void system_world::start_entry(std::size_t entry)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: start entry " + std::to_string(entry));
    if (!m_nodes[entry]->alive())
    {
        make_core(*m_nodes[entry]);
    }
}

void system_world::freeze_entry(std::size_t entry, core_duration time)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: freeze entry " + std::to_string(entry) +
         " " + std::to_string(time.count()));
    m_nodes[entry]->frozen_until = m_now + time;
}

void system_world::stop_entry(std::size_t entry)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: stop entry " + std::to_string(entry));
    if (m_nodes[entry]->alive())
    {
        take(*m_nodes[entry], stop_requested{});
    }
}

void system_world::kill_target(std::size_t target, bool silent)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: kill target " + std::to_string(target));
    auto& it = target_node(target);
    if (it.alive())
    {
        break_wires(it, silent);
        it.target.reset();
    }
}

void system_world::start_target(std::size_t target)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: start target " + std::to_string(target));
    if (!target_node(target).alive())
    {
        make_core(target_node(target));
    }
}

void system_world::freeze_target(std::size_t target, core_duration time)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: freeze target " +
         std::to_string(target) + " " + std::to_string(time.count()));
    target_node(target).frozen_until = m_now + time;
}

void system_world::stop_target(std::size_t target)
{
    if (target_node(target).alive())
    {
        take(target_node(target), stop_requested{});
    }
}

void system_world::cut(const process_name& a, const process_name& b)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: cut " + a.value + " " + b.value);
    m_cuts.insert(ordered(a, b));
}

void system_world::heal(const process_name& a, const process_name& b)
{
    m_cuts.erase(ordered(a, b));
}

void system_world::cut_from_store(const process_name& process, bool cut)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: store cut " + process.value +
         (cut ? " on" : " off"));
    if (cut)
    {
        m_cut_from_store.insert(process);
        return;
    }
    m_cut_from_store.erase(process);
}

void system_world::silence(const process_name& a, const process_name& b)
{
    note(std::to_string(m_now.time_since_epoch().count()) + " fault: silence " + a.value + " " + b.value);
    for (const auto& it : m_wires)
    {
        if (ordered(it->ends[0]->name, it->ends[1]->name) == ordered(a, b))
        {
            it->silent = true;
        }
    }
}

void system_world::lose_backend_answers(std::size_t target, std::uint32_t count)
{
    target_node(target).lose_answers = count;
}

void system_world::hang_backend(std::size_t target, bool hangs)
{
    target_node(target).hangs = hangs;
}

} // namespace masticcourse::tests
