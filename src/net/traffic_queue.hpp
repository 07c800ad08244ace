/// @file
/// The traffic handlers of an event loop that are ready, and the executor that adds to them.
#pragma once

#include <boost/asio/execution.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace masticcourse::detail
{

/// Handlers in the order in which they became ready. Thread-safe but for run_one().
class traffic_queue
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
        add(std::make_unique<handler_of<Function>>(std::move(function)));
    }

    /// Runs the first handler.
    /// @return whether there was one
    bool run_one(clock::time_point now);
    /// @return how long the last handler had been ready before it ran; 0 if there is none
    [[nodiscard]] clock::duration delay() const;
    /// Drops all handlers, and those that are still added.
    void close();
    /// Says which thread runs the handlers.
    void set_thread(std::thread::id thread);

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
    [[nodiscard]] ready_handler pop();

    boost::asio::io_context& m_context;
    mutable std::mutex m_mutex;
    std::deque<ready_handler> m_ready;
    clock::duration m_delay{};
    std::thread::id m_thread;
    bool m_closed = false;
};

/// Runs handlers through a traffic_queue.
class traffic_executor
{
  public:
    explicit traffic_executor(std::shared_ptr<traffic_queue> queue) : m_queue(std::move(queue)) {}

    [[nodiscard]] boost::asio::execution_context& query(boost::asio::execution::context_t /*property*/) const
    {
        return m_queue->context();
    }
    static constexpr boost::asio::execution::blocking_t query(boost::asio::execution::blocking_t /*property*/)
    {
        return boost::asio::execution::blocking.never;
    }

    template <typename Function>
    void execute(Function function) const
    {
        m_queue->push(std::move(function));
    }

    friend bool operator==(const traffic_executor&, const traffic_executor&) = default;

  private:
    std::shared_ptr<traffic_queue> m_queue;
};

} // namespace masticcourse::detail
