/// @file
/// State machine of one forwarded request.
#pragma once

#include "response_end.hpp"
#include "upload_body.hpp"

#include "masticcourse/gateway/request_forwarding.hpp"
#include "masticcourse/gateway/stream_progress.hpp"
#include "masticcourse/telemetry/event.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticcourse::gateway::detail
{

/// Retry-After for requests refused because the store is unreachable. Store outages last seconds, so this is
/// as long as callers honour: up to a third of their remaining time, about a second.
inline constexpr milliseconds store_unavailable_retry_after{1'000};

/// State of the token reservation of a request.
enum class reservation_state : std::uint8_t
{
    /// The request has no budget, or its tokens have been settled.
    not_needed,
    pending,
    granted,
};

/// What permitted sending a turn's tokens to the caller.
enum class token_basis : std::uint8_t
{
    /// Nothing has been sent, or the request has no budget.
    none,
    /// A durable reservation.
    reservation,
    /// An overdraft, for all tokens sent so far.
    overdraft,
};

[[nodiscard]] std::string_view to_string(token_basis basis);

/// What the caller has been sent of its response. Every end of a request goes by it: what has been begun can
/// only be continued in the same form, or broken off.
enum class sent_response : std::uint8_t
{
    nothing,
    /// The header of a stream, and of its content at most what is no event, such as a comment.
    stream_head,
    /// The header of a stream and at least one event.
    events,
    /// The header of a response that is no stream, and a part of its body.
    body,
};

/// Whether callers take the status as a guarantee that the request was not executed. Such a status is valid
/// only from a target that explicitly states so.
[[nodiscard]] bool implies_not_executed(int status);

/// An attempt whose response was lost with its connection.
struct lost_attempt
{
    target_record target;
    std::string reason;
    /// The suspicion of the request when it was sent there.
    suspicion suspicion_at_send;
    /// The connection had been idle and no byte of the response arrived, so the target may have closed it
    /// before the request reached it.
    bool unanswered_on_kept_connection = false;
};

class forwarded_request final : public request_in_progress,
                                public std::enable_shared_from_this<forwarded_request>
{
  public:
    forwarded_request(forwarding_services& services, config_ptr config, gateway_request request,
                      std::shared_ptr<http_exchange> exchange,
                      std::function<void(request_outcome)> on_finished);

    void start();
    void end_for_shutdown() override;

  private:
    using timer_handler = void (forwarded_request::*)();

    /// A timer that has been started last for a handler.
    struct handler_timer
    {
        timer_handler handler = nullptr;
        timer_handle handle;
    };

    /// @name Admission and preparation
    /// @{
    void set_deadline();
    /// Refuses the request, finally only if the configuration is current.
    void refuse_without_route();
    /// @return whether a request may be finally refused by the configuration
    [[nodiscard]] bool configuration_is_current() const;
    /// Checks the access key; refuses the request if it is not valid.
    [[nodiscard]] bool authorize();
    /// Assigns the request to its workspace and qualifies its program and turn ids with the workspace's name.
    void set_workspace(const workspace& owner);
    /// Claims the memory for the request, and what a long body takes while it is passed on.
    /// @return false if the request was refused because there is no room
    [[nodiscard]] bool claim_memory();
    void refuse_without_memory();
    void begin();
    /// Reads the rest of a body that is needed whole.
    void read_whole_body();
    void on_body_part(const http_body_part& part);
    void on_body_stalled();
    /// Prepares passing a long body on while it is read.
    void set_up_upload();
    void prepare();
    void start_budgeted_turn();
    void reserve();
    void load_chain();
    void on_chain_loaded(turn_chain chain);
    void on_reservation_result(reservation_outcome outcome);
    /// @}

    /// @name Overdraft: output before the reservation is durable
    /// @{
    /// Requests an overdraft if the reservation takes longer than it does under normal conditions.
    void schedule_overdraft();
    void request_overdraft();
    void on_overdraft_result(token_count granted);
    /// Called when the request ends: settles the tokens sent to the caller with the budget, and with the
    /// overdraft if they were sent before the reservation was durable. The end of a complete stream is sent
    /// after this, a refusal before.
    void settle_budget(settlement_timing timing);
    /// @return when the tokens of a request that ends with @a outcome are settled
    [[nodiscard]] settlement_timing timing_of(request_outcome outcome) const;
    /// @return the tokens in all events received so far
    [[nodiscard]] token_count generated_tokens() const;
    /// Whether all output so far may be sent to the caller before the reservation is durable.
    [[nodiscard]] bool within_overdraft() const;
    [[nodiscard]] token_count tokens_per_event() const;
    /// Records that all output so far is sent to the caller.
    void record_delivery();
    void count_delivered_tokens() const;
    /// @}

    /// @name Workspace quota
    /// @{
    /// Requests a permit, then calls @a handler; refuses the request if no permit is granted.
    void acquire_permit(void (forwarded_request::*handler)());
    void refuse_for_quota(const quota_refusal& refusal);
    [[nodiscard]] bool has_permit() const;
    /// Whether the request is the first one of its program.
    [[nodiscard]] bool is_program_start() const;
    /// @}

    /// @name Sending to targets
    /// @{
    /// Sends the request to a target as soon as the workspace's quota allows.
    void dispatch();
    void dispatch_with_permit();
    /// Makes sure that the targets are known as they are now, as far as the store tells.
    /// @return whether a target may be chosen now; otherwise the request waits for the store or was refused
    [[nodiscard]] bool tables_usable();
    /// Asks for admission before the first attempt.
    /// @return whether the request may be sent now; otherwise it is held back or has been refused
    [[nodiscard]] bool request_admission();
    void on_released(const std::optional<not_admitted>& refusal);
    void refuse_admission(const not_admitted& refusal);
    [[nodiscard]] const service_name& service() const;
    [[nodiscard]] scheduled_request to_scheduled_request() const;
    /// Tells the scheduler that the request no longer uses its targets.
    void complete_admission();
    /// Reports a complete response to the scheduler.
    void record_performance();
    [[nodiscard]] const target* choose_next_target();
    /// @return the target that the request is to be sent to again; null if there is none, or if it is gone
    [[nodiscard]] const target* take_repeat_target();
    /// Resets the state of the previous attempt and counts the new one at its target.
    void begin_attempt(const target_record& target);
    void send_to(const target_record& target);
    [[nodiscard]] std::string affinity_key() const;
    void refuse_without_target();
    /// Sends a request that its target has not executed to another one, or refuses it.
    void dispatch_or_refuse();
    /// @}

    /// @name Response of the target
    /// @{
    void on_head(const http_client_reply& reply);
    void on_reply(const http_client_reply& reply);
    /// @return how the current attempt's response ended
    [[nodiscard]] response_end classify_end(http_failure failure) const;
    void count_response(response_end end) const;
    /// Counts on how many connections, and on which, the current attempt was written.
    void count_sends(const http_send_report& report);
    void on_connect_failure();
    void on_not_executed();
    void on_response_lost(std::string_view reason);
    /// Handles a response that was lost with its connection: finds out whether the target has ended.
    void on_connection_lost(std::string_view reason);
    void on_target_checked(const lost_attempt& lost, server_state state);
    /// Whether the request may be sent again to the target that it was just sent to.
    [[nodiscard]] bool may_send_again() const;
    /// Sends the request to another target, or gives it up.
    void retry_or_refuse(std::string_view reason);
    /// Whether the request may be sent to another target.
    [[nodiscard]] bool may_go_on();
    /// Whether a target may have executed any part of the request.
    [[nodiscard]] bool may_have_run() const;
    void on_complete_response(const http_client_reply& reply);
    void end_attempt(health_signal signal);
    [[nodiscard]] bool can_retry() const;
    /// Whether the body can be sent from its beginning.
    [[nodiscard]] bool has_body() const;
    /// @}

    /// @name Shutdown of the process
    /// @{
    /// Refuses the request if it can't be finished before the process ends.
    /// @return whether it was refused
    [[nodiscard]] bool refuse_for_shutdown();
    /// Whether the caller is still sending the body.
    [[nodiscard]] bool body_arriving() const;
    /// @}

    /// @name Suspicion of ending targets
    /// @{
    /// @return the fingerprint by which all attempts with the same content are known
    [[nodiscard]] const request_fingerprint& content() const;
    /// Whether the content is known: a body that is passed on has been seen whole.
    [[nodiscard]] bool knows_content() const;
    /// Refuses the request if it is in quarantine.
    /// @return whether it was refused
    [[nodiscard]] bool refuse_quarantined();
    void record_target_end(const lost_attempt& lost);
    /// Records that a target has responded, which clears the request.
    void record_target_response();
    /// Whether the request is to be kept apart from other suspected ones.
    [[nodiscard]] bool is_suspected() const;
    /// @}

    /// @name Streamed response
    /// @{
    void on_chunk(std::string_view chunk);
    void on_events(std::string_view chunk);
    void on_stream_complete();
    /// Reserves memory for the output that waits, and for what a turn keeps.
    [[nodiscard]] bool hold_output(std::size_t received);
    /// Abandons a target that has stalled in the middle of a stream that another target can resume.
    void check_stall();
    /// Whether events of the response have been received already.
    [[nodiscard]] bool has_streamed_events() const;
    /// Whether a response to the current attempt can only go on with a stream: events have been received, or
    /// the caller has been sent the header of one.
    [[nodiscard]] bool stream_begun() const;
    /// Whether the caller has been sent the header of a stream.
    [[nodiscard]] bool has_sent_stream_head() const;
    [[nodiscard]] bool is_stream() const;
    /// Whether the current attempt's response is a stream, which a failure or a response without content is
    /// not.
    [[nodiscard]] bool responds_with_stream() const;
    /// @}

    /// @name Response to the caller
    /// @{
    /// Whether the budget permits sending the output received so far.
    [[nodiscard]] bool can_forward_output() const;
    void send_stream_head();
    void forward_output();
    /// Collects the body of a response, or passes it on if it is long.
    void on_body(std::string_view chunk);
    /// Drops a part of a response that is not passed on, whatever it contains. Abandons the target if the
    /// response is long.
    void drop_body(std::string_view chunk);
    /// Whether the response is the final one, whatever its body contains.
    [[nodiscard]] bool is_final_response() const;
    void begin_body();
    void watch_writes();
    void write_to_caller(std::string part);
    void on_written(std::size_t size);
    /// Reads on from the target, or lets it wait, depending on how much the caller has yet to read.
    void adjust_reading();
    /// Whether a response may go on past its deadline because only its caller is slow to read it.
    [[nodiscard]] bool waits_for_slow_caller() const;
    void store_turn();
    /// Ends the caller's stream once all output has been sent and, if the turn is stored, is durable.
    void finish_stream();
    void refuse(refusal_reason reason, ran_state ran, std::string detail,
                std::optional<milliseconds> retry_after = std::nullopt);
    void abort_stream(std::string_view detail);
    void on_caller_disconnected();
    void on_deadline();
    void finish(request_outcome outcome, std::string_view detail);
    void log_outcome(request_outcome outcome, std::string_view detail) const;
    void log_retry(std::string_view reason) const;
    /// @return log fields that describe how the body of the last attempt's response was framed and how it
    /// ended
    [[nodiscard]] std::vector<event_field> body_fields() const;
    /// @return the log field by which all attempts with the same content are found
    [[nodiscard]] event_field content_field() const;
    /// @}

    [[nodiscard]] milliseconds time_left() const;
    /// Calls @a handler after @a delay unless the request has ended. Replaces a timer for the same handler.
    void schedule(milliseconds delay, timer_handler handler);
    /// Whether the request's tokens count against a program's budget.
    [[nodiscard]] bool has_budget() const;
    /// @return the failure domain whose targets are preferred; empty if there is none
    [[nodiscard]] failure_domain_name preferred_domain() const;
    /// Whether the turn is stored for the turns that continue it.
    [[nodiscard]] bool is_retained() const;
    [[nodiscard]] std::optional<request_id> previous_turn() const;
    /// The id under which the turn is stored, and under which it is accounted for in its program's budget.
    [[nodiscard]] request_id turn_id() const;

    forwarding_services& m_services;
    config_ptr m_config;
    gateway_request m_request;
    std::shared_ptr<http_exchange> m_exchange;
    std::function<void(request_outcome)> m_on_finished;
    const route* m_route = nullptr;
    /// The workspace whose quota applies; null if there is no quota.
    const workspace* m_quota_workspace = nullptr;
    std::optional<quota_permit> m_permit;
    time_point m_started;
    time_point m_deadline;
    /// Age of the configuration and of the targets at the last decision: on arrival, then at each send.
    duration m_table_age{};
    /// The tables were out of date, and a refresh was requested.
    bool m_tables_refreshed = false;
    bool m_finished = false;
    /// None once the request has ended: whatever deadline its caller has stated, nothing is held until then.
    std::vector<handler_timer> m_timers;

    /// @name Turn
    /// @{
    reservation_state m_reservation = reservation_state::not_needed;
    bool m_chain_loaded = false;
    /// The turn may be sent to a target only after the reservation is durable.
    bool m_await_reservation = false;
    /// An overdraft has been requested and may not be settled yet.
    bool m_overdraft_requested = false;
    /// Tokens granted by the overdraft.
    token_count m_overdraft_granted = 0;
    /// Tokens sent to the caller, and what permitted it.
    token_count m_delivered_tokens = 0;
    token_basis m_delivery_basis = token_basis::none;
    turn_chain m_chain;
    bool m_turn_durable = false;
    /// @}

    /// @name Attempts
    /// @{
    std::vector<target_id> m_tried_targets;
    /// Failure domain of the target of the last attempt.
    failure_domain_name m_last_domain;
    std::uint32_t m_attempt_count = 0;
    /// The request may have been executed by an earlier attempt.
    bool m_may_have_executed = false;
    /// The target that the request is to be sent to again.
    std::optional<target_instance> m_repeat_target;
    /// The current attempt sends the request again to the target of the attempt before.
    bool m_sending_again = false;
    /// The response of the current attempt is lost, and its target is being checked.
    bool m_checking_target = false;
    /// The fingerprint of the content, once it was needed.
    mutable std::optional<request_fingerprint> m_content;
    suspicion m_suspicion_at_send;
    /// A target ended under this request.
    bool m_saw_target_end = false;
    /// At least one target refused the request without executing it.
    bool m_saw_full_target = false;
    std::optional<target_record> m_target;
    std::shared_ptr<http_stream> m_upstream;
    /// Id of the current attempt; callbacks of earlier attempts are ignored.
    std::uint64_t m_attempt_id = 0;
    std::optional<target_response_head> m_response_head;
    /// How the attempt was sent, once it has ended.
    http_send_report m_send_report;
    /// Connections on which any attempt was written, at least in part.
    std::uint32_t m_sends = 0;
    /// Body of the attempt's response, once it has ended.
    http_body_report m_body_report;
    /// Bytes of that body after its last complete event.
    std::size_t m_unfinished_bytes = 0;
    time_point m_attempt_started{};
    /// Arrival of the attempt's first event.
    std::optional<time_point> m_first_event_time;
    /// Events of earlier attempts.
    token_count m_events_before_attempt = 0;
    /// @}

    /// @name Admission
    /// @{
    /// The request may be sent, and has not told the scheduler yet that it has ended.
    bool m_admitted = false;
    /// Set while the request is held back.
    std::optional<held_request> m_held;
    /// @}

    /// @name Stream
    /// @{
    std::optional<stream_progress> m_progress;
    /// Response head of the first target that contributed events; it applies to the whole stream.
    std::optional<target_response_head> m_stream_head;
    /// Output that is sent to the caller once the reservation is durable.
    std::string m_pending_output;
    time_point m_last_chunk_time;
    bool m_stream_complete = false;
    /// @}

    /// What the caller has been sent so far, over all attempts.
    sent_response m_sent_to_caller = sent_response::nothing;

    /// @name Bodies that are passed on, and the memory that is held
    /// @{
    std::shared_ptr<upload_body> m_upload;
    memory_share m_memory_share;
    /// A long body under way.
    memory_lease m_upload_memory;
    /// A long body that is needed whole: a turn's input.
    memory_lease m_body_memory;
    /// An event that has not ended.
    memory_lease m_event_memory;
    /// The prompt of a turn, and its output until it is stored.
    memory_lease m_turn_memory;
    /// What is collected of a response, or waits to be sent to the caller.
    memory_lease m_response_memory;
    /// The collected part of a response's body.
    std::string m_response_body;
    /// Size of the response's body in bytes, if it is known.
    std::optional<std::uint64_t> m_response_length;
    /// Bytes of a response that is passed on.
    std::uint64_t m_passed_on = 0;
    /// Bytes of the current attempt's response that were dropped.
    std::size_t m_dropped_bytes = 0;
    /// Bytes that have been passed to the caller's connection and not been written yet.
    std::size_t m_unwritten = 0;
    /// The target has to wait until the caller has read more.
    bool m_reading_paused = false;
    /// @}
};

} // namespace masticcourse::gateway::detail
