/// @file
/// Limits the work submitted to the engine at once: a submitted call can no longer be ordered behind calls
/// that arrive later.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/messages/peer_message.hpp"
#include "masticcourse/policy/target_queue.hpp"

#include <cstdint>
#include <map>

namespace masticcourse
{

/// Limits on the work submitted to one engine.
struct engine_limits
{
    /// Maximum number of concurrent calls.
    std::uint32_t max_running = 16;
    /// Maximum sum of prompt tokens and `max_tokens` over the running calls, so that the engine need not
    /// preempt any of them.
    token_count max_tokens = 400'000;
    /// Maximum number of submitted tokens whose prefill has not finished. A single call may always prefill,
    /// whatever its length.
    token_count max_prefill_tokens = 8'000;
};

/// Tracks the calls submitted to the engine and decides whether the next call fits the limits.
class engine_admission
{
  public:
    engine_admission() = default;
    explicit engine_admission(const engine_limits& limits);

    /// @return whether @a call may be submitted now; an idle engine admits any call
    [[nodiscard]] bool admits(const waiting_call& call) const;

    /// Records that the call has been submitted.
    void on_started(const waiting_call& call);

    /// Records the call's first token, which marks the end of its prefill.
    void on_prefilled(const call_ref& call);

    /// Records the end of the call, whatever its outcome.
    void on_finished(const call_ref& call);

    [[nodiscard]] std::uint32_t running_count() const;

    /// @return whether all call slots are in use
    [[nodiscard]] bool full() const;

    /// @return number of tokens submitted and not yet prefilled
    [[nodiscard]] token_count pending_prefill_tokens() const;

    /// @return upper bound on the tokens that the running calls may still decode
    [[nodiscard]] token_count pending_decode_tokens() const;

  private:
    struct running_call
    {
        token_count tokens = 0;
        token_count prefill = 0;
        token_count decode = 0;
    };

    engine_limits m_limits;
    std::map<call_ref, running_call> m_running;
    token_count m_tokens = 0;
    token_count m_prefill = 0;
    token_count m_decode = 0;
};

} // namespace masticcourse
