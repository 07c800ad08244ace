/// @file
/// Virtual time: actions in the order of their instants, then of their scheduling.
#pragma once

#include "masticcourse/core/clock.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace masticcourse::bench
{

class timeline
{
  public:
    using action = std::function<void()>;

    [[nodiscard]] core_time now() const
    {
        return m_now;
    }

    void at(core_time when, action run)
    {
        m_actions.push({when, m_sequence++, std::move(run)});
    }

    void after(core_duration wait, action run)
    {
        at(m_now + wait, std::move(run));
    }

    /// Runs the next action.
    /// @return false if there is none before @a end
    bool step(core_time end)
    {
        if (m_actions.empty() || m_actions.top().when > end)
        {
            return false;
        }
        // The queue hands out const references only; the entry is popped right away.
        scheduled next = m_actions.top();
        m_actions.pop();
        m_now = next.when;
        next.run();
        return true;
    }

  private:
    struct scheduled
    {
        core_time when;
        std::uint64_t sequence = 0;
        action run;

        friend bool operator<(const scheduled& a, const scheduled& b)
        {
            return std::pair{a.when, a.sequence} > std::pair{b.when, b.sequence};
        }
    };

    core_time m_now{};
    std::uint64_t m_sequence = 0;
    std::priority_queue<scheduled> m_actions;
};

} // namespace masticcourse::bench
