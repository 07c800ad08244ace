/// @file
/// Tracks the calls that an entry process has sent to one target since the target's last load report, to
/// compensate for the lag of the reports.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/messages/peer_message.hpp"
#include "masticcourse/policy/placement.hpp"

#include <chrono>
#include <cstddef>
#include <map>

namespace masticcourse
{

/// Tracks the outstanding calls of an entry process at one target.
class load_tracker
{
  public:
    load_tracker() = default;

    /// @param lag age of a report on arrival; it does not include calls sent within that time before
    explicit load_tracker(core_duration lag);

    /// Records the arrival of a load report.
    void on_report(core_time now);

    /// Records a call sent to the target.
    /// @param prefill prompt tokens that the target has to prefill
    /// @param decode  expected number of answer tokens
    void on_sent(const call_ref& call, token_count prefill, token_count decode, core_time now);

    /// Records the end of a call, whatever its outcome.
    void on_ended(const call_ref& call);

    /// Updates @a view with the outstanding work that its report does not include.
    /// @param report_lifetime maximum age of a report; beyond it, all outstanding calls are counted
    void apply_to(target_view& view, core_time now, core_duration report_lifetime) const;

    /// @return number of outstanding calls at the target
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
    /// Work of the calls that the last report does not include, and of all outstanding calls.
    token_count m_unreported_prefill = 0;
    token_count m_unreported_decode = 0;
    token_count m_total_prefill = 0;
    token_count m_total_decode = 0;
};

} // namespace masticcourse
