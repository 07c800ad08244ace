/// @file
/// A clock that moves only when told to, and what is to happen when.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/time.hpp"

#include <functional>
#include <map>
#include <utility>

namespace masticcourse::testing
{

class virtual_time
{
  public:
    [[nodiscard]] gateway::time_point now() const
    {
        return m_now;
    }

    [[nodiscard]] gateway::clock_function clock()
    {
        return [this] { return m_now; };
    }

    [[nodiscard]] gateway::delay_function delays()
    {
        return [this](gateway::milliseconds after, std::function<void()> action)
        { m_actions.emplace(m_now + after, std::move(action)); };
    }

    /// Lets @a span pass, and all that is due in it happen in order.
    void run(gateway::milliseconds span)
    {
        const auto end = m_now + span;
        while (!m_actions.empty() && m_actions.begin()->first <= end)
        {
            const auto node = m_actions.extract(m_actions.begin());
            m_now = node.key();
            node.mapped()();
        }
        m_now = end;
    }

  private:
    gateway::time_point m_now{gateway::seconds{1'000}};
    std::multimap<gateway::time_point, std::function<void()>> m_actions;
};

} // namespace masticcourse::testing
