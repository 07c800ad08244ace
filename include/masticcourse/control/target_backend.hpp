/// @file
/// The target itself over HTTP: does what the target core says, and tells it what comes of that.
#pragma once

#include "masticcourse/control/target_core.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace masticcourse
{

struct target_backend_options
{
    /// Where the target takes requests, "ip:port".
    std::string address;
    call_kind kind = call_kind::model;
    /// Tells this process's streams from those of its earlier lives.
    incarnation_id incarnation;
    /// The longest silence of a model's stream, and the longest time that a plain service may take. Calls
    /// have deadlines of their own; this bounds those that have none.
    std::chrono::milliseconds longest_silence{120'000};
    /// For the listing, load and cancels.
    std::chrono::milliseconds control_timeout{2'000};
    /// How often a broken stream is resumed without a token in between, and the first pause, which doubles.
    std::uint32_t resume_attempts = 5;
    std::chrono::milliseconds resume_pause{50};
};

/// Takes what the target core is to be told, on a thread of the context.
using target_input_callback = std::function<void(target_input)>;

/// The target beside this process. All members may be called from any thread.
class target_backend
{
  public:
    target_backend(boost::asio::io_context& context, target_backend_options options,
                   target_input_callback on_input);
    target_backend(const target_backend&) = delete;
    target_backend(target_backend&&) = delete;
    target_backend& operator=(const target_backend&) = delete;
    target_backend& operator=(target_backend&&) = delete;
    /// Calls under way go on, but nothing is told any more.
    ~target_backend();

    /// Runs a call. Exactly one `engine_finished` follows; no other run of that call may begin before it.
    void start(engine_start order);

    /// Ends a call; its `engine_finished` comes as soon as the target has let go of it.
    void cancel(const engine_cancel& order);

    void free(const engine_free& order);

    /// Asks for the full listing and the memory in use.
    void list();

  private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace masticcourse
