#include "deadline.hpp"

namespace masticcourse::detail
{

deadline::deadline(const boost::asio::any_io_executor& executor)
    : m_timer(executor), m_state(std::make_shared<shared_state>())
{
}

void deadline::set(std::chrono::milliseconds timeout, std::function<void()> on_expired)
{
    clear();
    m_state->expired = false;
    m_timer.expires_after(timeout);
    m_timer.async_wait(
        [weak = std::weak_ptr{m_state}, generation = m_state->generation,
         on_expired = std::move(on_expired)](boost::system::error_code ec)
        {
            const auto state = weak.lock();
            if (ec || !state || state->generation != generation)
            {
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
