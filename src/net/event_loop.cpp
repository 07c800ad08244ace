#include "masticcourse/net/event_loop.hpp"

#include "traffic_queue.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>
#include <utility>

namespace masticcourse
{

namespace
{

using loop_clock = detail::traffic_queue::clock;

/// How long handlers run until the control handlers are looked for that have become ready meanwhile; a single
/// handler may take longer. Each look costs a system call or two, and the reply to a call of the store comes
/// in two or three steps, which are to take a small part of read_patience.
constexpr std::chrono::milliseconds control_interval{25};
/// How long control handlers run while traffic waits. Whoever sends to an address of control without an end
/// must not keep traffic from running.
constexpr std::chrono::milliseconds max_control_time{100};

/// Runs the handlers of the context that are ready, and those that become ready meanwhile.
/// @return false if there are more of them than the time allows
bool drain(boost::asio::io_context& context, loop_clock::time_point begin)
{
    while (context.poll_one() > 0)
    {
        if (loop_clock::now() - begin >= max_control_time)
        {
            return false;
        }
    }
    return true;
}

} // namespace

namespace detail
{

void traffic_queue::add(std::unique_ptr<handler> action)
{
    if (!m_closed)
    {
        m_ready.push_back({std::move(action), m_now});
    }
}

void traffic_queue::attach_thread()
{
    m_thread = std::this_thread::get_id();
}

bool traffic_queue::run_one(clock::time_point now)
{
    m_now = now;
    if (m_ready.empty())
    {
        m_delay = clock::duration{};
        return false;
    }
    const auto it = std::move(m_ready.front());
    m_ready.pop_front();
    m_delay = now - it.since;
    it.action->run();
    return true;
}

traffic_queue::clock::duration traffic_queue::delay() const
{
    return m_delay;
}

void traffic_queue::close()
{
    m_closed = true;
    // What a handler owns may add others when it is destroyed.
    const auto dropped = std::exchange(m_ready, {});
}

} // namespace detail

struct event_loop::state
{
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{context.get_executor()};
    std::shared_ptr<detail::traffic_queue> traffic = std::make_shared<detail::traffic_queue>(context);
    std::function<void()> on_control_drained = [] {};
};

event_loop::event_loop() : m_state(std::make_unique<state>()) {}

event_loop::~event_loop()
{
    // The handlers hold sockets of the context.
    m_state->traffic->close();
}

boost::asio::io_context& event_loop::context()
{
    return m_state->context;
}

boost::asio::any_io_executor event_loop::traffic_executor()
{
    return detail::traffic_executor{m_state->traffic};
}

void event_loop::on_control_drained(std::function<void()> callback)
{
    m_state->on_control_drained = std::move(callback);
}

std::chrono::steady_clock::duration event_loop::traffic_delay() const
{
    return m_state->traffic->delay();
}

void event_loop::run()
{
    auto& [context, work, traffic, on_control_drained] = *m_state;
    traffic->attach_thread();
    auto now = loop_clock::now();
    auto drained = now;
    while (!context.stopped())
    {
        if (now - drained >= control_interval)
        {
            if (drain(context, now))
            {
                on_control_drained();
            }
            drained = loop_clock::now();
        }
        if (!traffic->run_one(now))
        {
            traffic->run_at_once(true);
            context.run_one();
            traffic->run_at_once(false);
        }
        now = loop_clock::now();
    }
}

void event_loop::stop()
{
    m_state->context.stop();
}

} // namespace masticcourse
