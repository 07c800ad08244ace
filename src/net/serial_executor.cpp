#include "serial_executor.hpp"

#include "traffic_queue.hpp"

#include <boost/asio/strand.hpp>

namespace masticcourse::detail
{

boost::asio::any_io_executor make_serial_executor(const boost::asio::any_io_executor& executor)
{
    // Its loop runs one handler at a time.
    const bool serial = executor.target<traffic_executor>() != nullptr;
    return serial ? executor : boost::asio::make_strand(executor);
}

} // namespace masticcourse::detail
