#include "masticcourse/daemon/traffic.hpp"

#include <csignal>
#include <utility>

namespace masticcourse
{

struct traffic::periodic
{
    boost::asio::steady_timer timer;
    std::chrono::milliseconds period;
    std::function<void()> callback;
};

traffic::traffic() : m_work(boost::asio::make_work_guard(m_context)), m_signals(m_context, SIGTERM, SIGINT) {}

traffic::~traffic()
{
    stop();
}

boost::asio::io_context& traffic::context()
{
    return m_context;
}

void traffic::start(std::uint32_t threads)
{
    for (std::uint32_t n = 0; n < threads; ++n)
    {
        m_threads.emplace_back([this] { m_context.run(); });
    }
}

void traffic::stop()
{
    m_context.stop();
    m_threads.clear();
}

void traffic::on_stop_signal(std::function<void()> callback)
{
    m_signals.async_wait(
        [callback = std::move(callback)](const boost::system::error_code& ec, int /*signal*/)
        {
            if (!ec)
            {
                callback();
            }
        });
}

void traffic::every(std::chrono::milliseconds period, std::function<void()> callback)
{
    arm(std::make_shared<periodic>(
        periodic{boost::asio::steady_timer{m_context}, period, std::move(callback)}));
}

void traffic::arm(const std::shared_ptr<periodic>& task)
{
    task->timer.expires_after(task->period);
    task->timer.async_wait(
        [task](const boost::system::error_code& ec)
        {
            if (!ec)
            {
                task->callback();
                arm(task);
            }
        });
}

} // namespace masticcourse
