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

/// How long traffic handlers run until control handlers are looked for again. A single handler may take
/// longer.
constexpr std::chrono::milliseconds traffic_slice{5};

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

bool traffic_queue::empty() const
{
    const std::scoped_lock lock(m_mutex);
    return m_ready.empty();
}

traffic_queue::ready_handler traffic_queue::pop()
{
    const std::scoped_lock lock(m_mutex);
    if (m_ready.empty())
    {
        m_delay = {};
        return {};
    }
    auto it = std::move(m_ready.front());
    m_ready.pop_front();
    return it;
}

void traffic_queue::run_slice(clock::duration slice)
{
    auto now = clock::now();
    const auto end = now + slice;
    for (auto it = pop(); it.action; it = now < end ? pop() : ready_handler{})
    {
        m_delay = now - it.since;
        it.action->run();
        now = clock::now();
    }
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
    while (!context.stopped())
    {
        if (traffic->empty())
        {
            context.run_one();
        }
        context.poll();
        on_control_drained();
        traffic->run_slice(traffic_slice);
    }
}

void event_loop::stop()
{
    m_state->context.stop();
}

} // namespace masticcourse
