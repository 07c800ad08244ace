#include "session_exchange.hpp"

#include "http_session.hpp"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace masticcourse::detail
{

namespace
{

class session_exchange final : public http_exchange
{
  public:
    session_exchange(std::weak_ptr<http_session> session, std::uint64_t number)
        : m_session(std::move(session)), m_number(number)
    {
    }
    session_exchange(const session_exchange&) = delete;
    session_exchange(session_exchange&&) = delete;
    session_exchange& operator=(const session_exchange&) = delete;
    session_exchange& operator=(session_exchange&&) = delete;
    ~session_exchange() override
    {
        forward([this](http_session& it) { it.post_dropped(m_number); });
    }

    void respond(http_response response) override
    {
        m_complete = true;
        forward([&](http_session& it) { it.post_response(m_number, std::move(response)); });
    }

    void begin_stream(int status, std::vector<http_header> headers) override
    {
        forward([&](http_session& it) { it.post_stream(m_number, status, std::move(headers)); });
    }

    void begin_body(int status, std::vector<http_header> headers,
                    std::optional<std::uint64_t> length) override
    {
        forward([&](http_session& it) { it.post_body(m_number, status, std::move(headers), length); });
    }

    void on_written(std::function<void(std::size_t)> callback) override
    {
        forward([&](http_session& it) { it.post_on_written(m_number, std::move(callback)); });
    }

    void write(std::string chunk) override
    {
        forward([&](http_session& it) { it.post_chunk(m_number, std::move(chunk)); });
    }

    void end_stream() override
    {
        m_complete = true;
        forward([this](http_session& it) { it.post_end(m_number); });
    }

    void on_closed(std::function<void()> callback) override
    {
        const bool forwarded =
            forward([&](http_session& it) { it.post_on_closed(m_number, std::move(callback)); });
        if (!forwarded && !m_complete)
        {
            callback();
        }
    }

  private:
    /// @return whether the session still exists
    template <typename Action>
    bool forward(Action action)
    {
        const auto session = m_session.lock();
        if (session)
        {
            action(*session);
        }
        return session != nullptr;
    }

    std::weak_ptr<http_session> m_session;
    std::uint64_t m_number;
    std::atomic<bool> m_complete = false;
};

class session_body final : public http_body_source
{
  public:
    session_body(std::weak_ptr<http_session> session, std::uint64_t number)
        : m_session(std::move(session)), m_number(number)
    {
    }

    void read(http_body_callback on_part) override
    {
        if (const auto session = m_session.lock())
        {
            session->post_read(m_number, std::move(on_part));
            return;
        }
        on_part({.data = {}, .progress = body_progress::broken});
    }

  private:
    std::weak_ptr<http_session> m_session;
    std::uint64_t m_number;
};

} // namespace

std::shared_ptr<http_body_source> make_session_body(std::weak_ptr<http_session> session, std::uint64_t number)
{
    return std::make_shared<session_body>(std::move(session), number);
}

std::shared_ptr<http_exchange> make_session_exchange(std::weak_ptr<http_session> session,
                                                     std::uint64_t number)
{
    return std::make_shared<session_exchange>(std::move(session), number);
}

} // namespace masticcourse::detail
