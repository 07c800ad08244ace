/// @file
/// The control thread: it alone owns a control core, and takes inputs from all other threads.
#pragma once

#include "masticcourse/core/clock.hpp"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace masticcourse
{

/// @return the time for control cores: the system's monotonic clock
[[nodiscard]] inline core_time monotonic_now()
{
    const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
    return core_time{std::chrono::duration_cast<core_duration>(elapsed)};
}

/// Steps a control core whenever inputs have come or its next wakeup is due.
/// @tparam Core   has `step(span of Input, time)` and `next_wakeup()`
/// @tparam Input  what other threads post
/// @tparam Output what the core wants done
template <typename Core, typename Input, typename Output>
class control_loop
{
  public:
    /// Does what one output says, on the control thread.
    using output_handler = std::function<void(Output)>;
    /// Looks at the core after a step, on the control thread.
    using step_handler = std::function<void(const Core&)>;

    control_loop(Core core, output_handler on_output, step_handler after_step)
        : m_core(std::move(core)), m_on_output(std::move(on_output)), m_after_step(std::move(after_step))
    {
    }

    /// Hands an input to the core, from any thread.
    void post(Input input)
    {
        {
            const std::scoped_lock lock{m_mutex};
            m_inbox.push_back(std::move(input));
        }
        m_wake.notify_one();
    }

    /// Ends `run`, from any thread.
    void stop()
    {
        {
            const std::scoped_lock lock{m_mutex};
            m_stopped = true;
        }
        m_wake.notify_one();
    }

    /// Runs the core on the calling thread until `stop`.
    void run()
    {
        while (true)
        {
            const auto inputs = wait();
            if (!inputs)
            {
                return;
            }
            for (auto& output : m_core.step(*inputs, monotonic_now()))
            {
                m_on_output(std::move(output));
            }
            m_after_step(m_core);
        }
    }

  private:
    /// @return what has come in, or nothing once the loop was stopped
    std::optional<std::vector<Input>> wait()
    {
        const auto until = std::chrono::steady_clock::time_point{m_core.next_wakeup().time_since_epoch()};
        std::unique_lock lock{m_mutex};
        m_wake.wait_until(lock, until, [&] { return m_stopped || !m_inbox.empty(); });
        if (m_stopped)
        {
            return std::nullopt;
        }
        return std::exchange(m_inbox, {});
    }

    Core m_core;
    output_handler m_on_output;
    step_handler m_after_step;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<Input> m_inbox;
    bool m_stopped = false;
};

} // namespace masticcourse
