/// @file
/// The state of one request on its way.
#pragma once

#include "masticcourse/gateway/request_forwarding.hpp"
#include "masticcourse/gateway/stream_progress.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::gateway::detail
{

/// When a caller may come back that the store's absence turned away. Its outages last seconds: as late as
/// callers honour, a third of the time that they have left.
inline constexpr milliseconds store_unavailable_retry_after{1'000};

/// Where the budget that a request draws on stands.
enum class reservation_state : std::uint8_t
{
    /// The request states no budget.
    not_needed,
    pending,
    granted,
};

class forwarded_request : public std::enable_shared_from_this<forwarded_request>
{
  public:
    forwarded_request(forwarding_services& services, config_ptr config, gateway_request request,
                      std::shared_ptr<http_exchange> exchange,
                      std::function<void(request_outcome)> on_finished);

    void start();

  private:
    /// @name Before a target is chosen
    /// @{
    void set_deadline();
    /// Lets the caller in, or refuses it.
    [[nodiscard]] bool authorize();
    /// From here on, what the request names belongs to its workspace.
    void set_workspace(const workspace& owner);
    void begin();
    void start_budgeted_turn();
    void reserve();
    void load_chain();
    void on_chain_loaded(turn_chain chain);
    void on_reservation_result(reservation_outcome outcome);
    /// @}

    /// @name Ahead of the reservation
    /// @{
    /// Asks for an overdraft if the reservation takes longer than on a calm day.
    void schedule_overdraft();
    void request_overdraft();
    void on_overdraft_result(token_count granted);
    /// The request has ended: what it handed out is settled with the budget, and with the overdraft if it was
    /// handed out ahead.
    void settle_budget();
    /// Whether all that has come may be handed out before the reservation is durable.
    [[nodiscard]] bool within_overdraft() const;
    [[nodiscard]] token_count tokens_per_event() const;
    /// @}

    /// @name The workspace's quota
    /// @{
    /// Asks for a permit and then takes the step; refuses the request if there is none.
    void acquire_permit(void (forwarded_request::*handler)());
    void refuse_for_quota(const quota_refusal& refusal);
    [[nodiscard]] bool has_permit() const;
    /// Whether the request is the first of its program.
    [[nodiscard]] bool is_program_start() const;
    /// @}

    /// @name Sending
    /// @{
    /// Sends it to a target, as soon as the workspace's quota allows.
    void dispatch();
    void dispatch_with_permit();
    [[nodiscard]] const target* choose_next_target();
    void send_to(const target_record& target);
    [[nodiscard]] std::string affinity_key() const;
    void refuse_without_target();
    /// @}

    /// @name The target's answer
    /// @{
    void on_head(const http_client_reply& reply);
    void on_reply(http_client_reply reply);
    void on_connect_failure();
    void on_not_executed();
    void on_response_lost(std::string_view reason);
    void on_complete_response(http_client_reply reply);
    void end_attempt(health_signal verdict);
    [[nodiscard]] bool can_retry() const;
    /// @}

    /// @name A streamed answer
    /// @{
    void create_progress();
    void on_chunk(std::string_view chunk);
    void on_stream_complete();
    /// Looks whether the target has fallen silent in the middle of a stream that may go on elsewhere.
    void check_stall();
    /// Whether an earlier target made a part of the answer.
    [[nodiscard]] bool has_streamed_events() const;
    [[nodiscard]] bool is_stream() const;
    /// @}

    /// @name Towards the caller
    /// @{
    /// Whether the budget allows what has come so far.
    [[nodiscard]] bool can_forward_output() const;
    void send_stream_head();
    void forward_output();
    void store_turn();
    /// Tells the caller that the stream is whole, once nothing of it is open.
    void finish_stream();
    void refuse(refusal_reason reason, ran_state ran, std::string detail,
                std::optional<milliseconds> retry_after = std::nullopt);
    void abort_stream(std::string_view detail);
    void on_caller_disconnected();
    void on_deadline();
    void finish(request_outcome outcome, std::string_view detail);
    void log_outcome(request_outcome outcome, std::string_view detail) const;
    void log_retry(std::string_view reason) const;
    /// @}

    [[nodiscard]] milliseconds time_left() const;
    /// Takes a step after a while, if the request is still there.
    void schedule(milliseconds delay, void (forwarded_request::*handler)());
    /// Whether it may generate tokens only within a program's budget.
    [[nodiscard]] bool has_budget() const;
    /// @return the failure domain whose targets are chosen first; empty if none is
    [[nodiscard]] failure_domain_name preferred_domain() const;
    /// Whether what is said in it is kept for the turns after it.
    [[nodiscard]] bool is_retained() const;
    [[nodiscard]] std::optional<request_id> previous_turn() const;
    /// The id under which the turn is kept.
    [[nodiscard]] request_id turn_id() const;

    forwarding_services& m_services;
    config_ptr m_config;
    gateway_request m_request;
    std::shared_ptr<http_exchange> m_exchange;
    std::function<void(request_outcome)> m_on_finished;
    const route* m_route = nullptr;
    /// The workspace whose quota the request counts in; null if there is no limit.
    const workspace* m_quota_workspace = nullptr;
    std::optional<quota_permit> m_permit;
    time_point m_started;
    time_point m_deadline;
    bool m_finished = false;

    /// @name Of a turn
    /// @{
    reservation_state m_reservation = reservation_state::not_needed;
    bool m_chain_loaded = false;
    /// The reservation must be durable before a target may see the turn.
    bool m_await_reservation = false;
    /// An overdraft has been asked for, and may be open.
    bool m_overdraft_requested = false;
    /// What it allows.
    token_count m_overdraft_granted = 0;
    turn_chain m_chain;
    bool m_turn_durable = false;
    /// @}

    /// @name Of the attempts
    /// @{
    std::vector<target_id> m_tried_targets;
    /// Where the target that it was sent to last lies.
    failure_domain_name m_last_domain;
    std::uint32_t m_attempt_count = 0;
    /// An attempt that may have run the request has been made.
    bool m_may_have_executed = false;
    /// All targets that answered said that they were full.
    bool m_saw_full_target = false;
    std::optional<target_record> m_target;
    std::shared_ptr<http_stream> m_upstream;
    /// Numbers the attempts, so that what comes of an older one is dropped.
    std::uint64_t m_attempt_id = 0;
    std::optional<target_response_head> m_response_head;
    /// @}

    /// @name Of a stream
    /// @{
    std::optional<stream_progress> m_progress;
    /// The head of the first target's answer, which stands for the whole stream.
    std::optional<target_response_head> m_stream_head;
    /// What may be handed out once the reservation is durable.
    std::string m_pending_output;
    time_point m_last_chunk_time;
    bool m_stream_head_sent = false;
    bool m_stream_complete = false;
    /// @}
};

} // namespace masticcourse::gateway::detail
