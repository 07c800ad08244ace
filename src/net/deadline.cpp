#include "deadline.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::detail
{

namespace
{

/// A process that looks at an expired timer later than this may not have looked at its sockets either.
constexpr std::chrono::milliseconds tolerated_lateness{50};
/// @name Limits of the time that it then gets to read what has arrived
/// @{
constexpr std::chrono::milliseconds max_extension{500};
constexpr int max_extensions = 4;
/// @}

} // namespace

deadline::deadline(const boost::asio::any_io_executor& executor)
    : m_timer(executor), m_state(std::make_shared<shared_state>())
{
}

void deadline::set(std::chrono::milliseconds timeout, std::function<void()> on_expired)
{
    clear();
    m_state->expired = false;
    m_extensions = 0;
    wait(timeout, std::move(on_expired));
}

void deadline::wait(std::chrono::milliseconds timeout, std::function<void()> on_expired)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait(
        [this, weak = std::weak_ptr{m_state}, generation = m_state->generation,
         on_expired = std::move(on_expired)](boost::system::error_code ec) mutable
        {
            const auto state = weak.lock();
            if (ec || !state || state->generation != generation)
            {
                return;
            }
            const auto late = std::chrono::ceil<std::chrono::milliseconds>(
                boost::asio::steady_timer::clock_type::now() - m_timer.expiry());
            if (late > tolerated_lateness && m_extensions < max_extensions)
            {
                ++m_extensions;
                wait(std::min(late, max_extension), std::move(on_expired));
                return;
            }
            state->expired = true;
            on_expired();
        });
}

void deadline::clear()
{
    ++m_state->generation;
    m_timer.cancel();
}

bool deadline::expired() const
{
    return m_state->expired;
}

} // namespace masticcourse::detail
