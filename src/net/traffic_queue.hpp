/// @file
/// The traffic handlers of an event loop that are ready, and the executor that adds to them.
#pragma once

#include <boost/asio/execution.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <chrono>
#include <deque>
#include <memory>
#include <thread>
#include <utility>

namespace masticcourse::detail
{

/// Handlers in the order in which they became ready. Only push() and delay() are thread-safe.
class traffic_queue : public std::enable_shared_from_this<traffic_queue>
{
  public:
    using clock = std::chrono::steady_clock;

    explicit traffic_queue(boost::asio::io_context& context) : m_context(context) {}

    [[nodiscard]] boost::asio::io_context& context() const
    {
        return m_context;
    }

    template <typename Function>
    void push(Function function)
    {
        auto action = std::make_unique<handler_of<Function>>(std::move(function));
        if (std::this_thread::get_id() == m_thread)
        {
            add(std::move(action));
            return;
        }
        // The loop may be waiting in the context.
        boost::asio::post(m_context, [self = shared_from_this(), action = std::move(action)]() mutable
                          { self->add(std::move(action)); });
    }

    /// Says that this thread runs the handlers from now on.
    void attach_thread();
    /// Sets whether handlers that become ready run at once, on this thread, while none waits.
    void run_at_once(bool value)
    {
        m_runs_at_once = value;
    }
    [[nodiscard]] bool runs_at_once() const
    {
        return std::this_thread::get_id() == m_thread && m_runs_at_once && m_ready.empty();
    }
    /// Runs the first handler.
    /// @param now the time from which on handlers count as ready that are added from now on
    /// @return whether there was one
    bool run_one(clock::time_point now);
    /// @return how long the last handler had been ready before it ran; 0 if there is none
    [[nodiscard]] clock::duration delay() const;
    /// Drops all handlers, and those that are still added.
    void close();

  private:
    struct handler
    {
        handler() = default;
        handler(const handler&) = delete;
        handler(handler&&) = delete;
        handler& operator=(const handler&) = delete;
        handler& operator=(handler&&) = delete;
        virtual ~handler() = default;
        virtual void run() = 0;
    };

    template <typename Function>
    struct handler_of final : handler
    {
        explicit handler_of(Function given) : function(std::move(given)) {}
        void run() override
        {
            std::move(function)();
        }
        Function function;
    };

    struct ready_handler
    {
        std::unique_ptr<handler> action;
        clock::time_point since;
    };

    void add(std::unique_ptr<handler> action);

    boost::asio::io_context& m_context;
    std::deque<ready_handler> m_ready;
    /// The time of the last handler; reading the clock for each that is added would cost as much as adding
    /// it.
    clock::time_point m_now = clock::now();
    std::atomic<clock::duration> m_delay{};
    std::atomic<std::thread::id> m_thread;
    bool m_runs_at_once = false;
    bool m_closed = false;
};

/// Runs handlers through a traffic_queue; at once where that is allowed and none waits.
class traffic_executor
{
  public:
    using blocking = boost::asio::execution::blocking_t;

    explicit traffic_executor(std::shared_ptr<traffic_queue> queue) : m_queue(std::move(queue)) {}

    [[nodiscard]] boost::asio::execution_context& query(boost::asio::execution::context_t /*property*/) const
    {
        return m_queue->context();
    }
    [[nodiscard]] blocking query(blocking /*property*/) const
    {
        return m_may_block ? blocking{blocking::possibly} : blocking{blocking::never};
    }
    [[nodiscard]] traffic_executor require(blocking::possibly_t /*property*/) const
    {
        auto it = *this;
        it.m_may_block = true;
        return it;
    }
    [[nodiscard]] traffic_executor require(blocking::never_t /*property*/) const
    {
        auto it = *this;
        it.m_may_block = false;
        return it;
    }

    template <typename Function>
    void execute(Function function) const
    {
        if (m_may_block && m_queue->runs_at_once())
        {
            std::move(function)();
            return;
        }
        m_queue->push(std::move(function));
    }

    friend bool operator==(const traffic_executor&, const traffic_executor&) = default;

  private:
    std::shared_ptr<traffic_queue> m_queue;
    bool m_may_block = false;
};

} // namespace masticcourse::detail
