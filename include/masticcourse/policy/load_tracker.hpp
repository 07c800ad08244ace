/// @file
/// A home's own work at one target since that target's last report: what makes a lagging report usable.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/messages/peer_message.hpp"
#include "masticcourse/policy/placement.hpp"

#include <chrono>
#include <cstddef>
#include <map>

namespace masticcourse
{

/// The tracker of one target.
class load_tracker
{
  public:
    load_tracker() = default;

    /// @param lag how old a report is when it arrives; calls sent within that time are not in it
    explicit load_tracker(core_duration lag);

    /// A report has come.
    void on_report(core_time now);

    /// A call has been sent.
    /// @param prefill tokens of its prompt that the target has to compute
    /// @param decode  tokens that its answer is expected to have
    void on_sent(const call_ref& call, token_count prefill, token_count decode, core_time now);

    /// A call has ended there in any way.
    void on_ended(const call_ref& call);

    /// Writes the own work that @a view's report can't know of into it.
    /// @param report_lifetime a report older than this counts for nothing: all own calls are taken into
    /// account
    void apply_to(target_view& view, core_time now, core_duration report_lifetime) const;

    /// @return own calls under way there
    [[nodiscard]] std::size_t in_flight() const;

  private:
    struct sent_call
    {
        token_count prefill = 0;
        token_count decode = 0;
        core_time sent;
        bool in_report = false;
    };

    core_duration m_lag = std::chrono::milliseconds{1};
    core_time m_last_report{};
    std::map<call_ref, sent_call> m_calls;
    /// The work of calls that the last report can't know of, and of all.
    token_count m_unreported_prefill = 0;
    token_count m_unreported_decode = 0;
    token_count m_total_prefill = 0;
    token_count m_total_decode = 0;
};

} // namespace masticcourse
