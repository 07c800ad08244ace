/// @file
/// How much is handed to the engine at once: what it has taken can't be put behind anything later.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/messages/peer_message.hpp"
#include "masticcourse/policy/target_queue.hpp"

#include <cstdint>
#include <map>

namespace masticcourse
{

/// The limits of one engine.
struct engine_limits
{
    /// Calls in the engine at once.
    std::uint32_t max_running = 16;
    /// Tokens of prompts and longest answers in the engine at once, so that it need not preempt.
    token_count max_tokens = 400'000;
    /// Tokens handed over whose prefill has not ended. One call may always prefill, however long.
    token_count max_prefill_tokens = 8'000;
};

/// Keeps count of what the engine has, and says whether the next call fits.
class engine_admission
{
  public:
    engine_admission() = default;
    explicit engine_admission(const engine_limits& limits);

    /// @return whether @a call may be handed over now; an idle engine takes any call
    [[nodiscard]] bool admits(const waiting_call& call) const;

    /// The call has been handed over.
    void on_started(const waiting_call& call);

    /// The call's first token has come: its prefill is over.
    void on_prefilled(const call_ref& call);

    /// The call has ended in any way.
    void on_finished(const call_ref& call);

    [[nodiscard]] std::uint32_t running_count() const;

    /// @return whether no slot is free
    [[nodiscard]] bool full() const;

    /// Tokens handed over and not yet prefilled.
    [[nodiscard]] token_count pending_prefill_tokens() const;

    /// Tokens that running calls may still decode, at most.
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
