#include "masticcourse/gateway/io_delay.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace masticcourse::gateway
{

delay_function make_io_delay(boost::asio::io_context& context)
{
    return [&context](milliseconds after, std::function<void()> action)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(context, after);
        timer->async_wait(
            [timer, action = std::move(action)](boost::system::error_code ec)
            {
                if (!ec)
                {
                    action();
                }
            });
    };
}

timer_function make_io_timer(boost::asio::io_context& context)
{
    return [&context](milliseconds after, std::function<void()> action) -> timer_handle
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(context, after);
        timer->async_wait(
            [action = std::move(action)](boost::system::error_code ec)
            {
                if (!ec)
                {
                    action();
                }
            });
        return timer;
    };
}

} // namespace masticcourse::gateway
