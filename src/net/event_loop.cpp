#include "masticcourse/net/event_loop.hpp"

#include "traffic_queue.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <thread>
#include <utility>

namespace masticcourse
{

namespace
{

using loop_clock = detail::traffic_queue::clock;

/// How long traffic handlers run until control handlers are looked for again. A single handler may take
/// longer.
constexpr std::chrono::milliseconds traffic_slice{10};
/// The same while no traffic handler waits: control handlers then wait for nothing, and each look costs a
/// system call.
constexpr std::chrono::milliseconds quiet_interval{25};

} // namespace

namespace detail
{

void traffic_queue::add(std::unique_ptr<handler> action)
{
    std::unique_lock lock(m_mutex);
    if (m_closed)
    {
        return;
    }
    m_ready.push_back({std::move(action), clock::now()});
    const bool from_outside = std::this_thread::get_id() != m_thread;
    lock.unlock();
    if (from_outside)
    {
        // The loop may be waiting in the context.
        boost::asio::post(m_context, [] {});
    }
}

traffic_queue::ready_handler traffic_queue::pop()
{
    const std::scoped_lock lock(m_mutex);
    if (m_ready.empty())
    {
        return {};
    }
    auto it = std::move(m_ready.front());
    m_ready.pop_front();
    return it;
}

bool traffic_queue::run_one(clock::time_point now)
{
    const auto it = pop();
    m_delay = it.action ? now - it.since : clock::duration{};
    if (it.action)
    {
        it.action->run();
    }
    return it.action != nullptr;
}

traffic_queue::clock::duration traffic_queue::delay() const
{
    return m_delay;
}

void traffic_queue::close()
{
    // What a handler owns may add others when it is destroyed.
    std::deque<ready_handler> dropped;
    {
        const std::scoped_lock lock(m_mutex);
        m_closed = true;
        dropped.swap(m_ready);
    }
}

void traffic_queue::set_thread(std::thread::id thread)
{
    const std::scoped_lock lock(m_mutex);
    m_thread = thread;
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
    traffic->set_thread(std::this_thread::get_id());
    auto now = loop_clock::now();
    auto drained = now;
    bool has_traffic = false;
    while (!context.stopped())
    {
        if (now - drained >= (has_traffic ? traffic_slice : quiet_interval))
        {
            context.poll();
            on_control_drained();
            drained = loop_clock::now();
        }
        has_traffic = traffic->run_one(now);
        if (!has_traffic)
        {
            context.run_one();
        }
        now = loop_clock::now();
    }
}

void event_loop::stop()
{
    m_state->context.stop();
}

} // namespace masticcourse
