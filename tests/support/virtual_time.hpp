/// @file
/// A clock that moves only when told to, and what is to happen when.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/io_delay.hpp"
#include "masticcourse/gateway/time.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

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

    [[nodiscard]] gateway::timer_function timers()
    {
        return [this](gateway::milliseconds after, std::function<void()> action) -> gateway::timer_handle
        {
            auto alive = std::make_shared<char>();
            m_actions.emplace(m_now + after,
                              [weak = std::weak_ptr{alive}, action = std::move(action)]
                              {
                                  if (weak.lock())
                                  {
                                      action();
                                  }
                              });
            m_timers.emplace_back(alive);
            return alive;
        };
    }

    /// @return how many timers have not been cancelled, whether or not they have expired
    [[nodiscard]] std::size_t open_timers() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_timers, [](const auto& it) { return !it.expired(); }));
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
    std::vector<std::weak_ptr<char>> m_timers;
};

} // namespace masticcourse::testing
