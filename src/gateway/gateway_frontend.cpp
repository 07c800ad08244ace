// How requests of callers are taken in: the limits of the addresses that a gateway serves, and what is
// refused before it is forwarded.
#include "gateway_state.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// Bodies of callers that are larger are passed on while they are read, in bytes.
constexpr std::size_t max_short_body = std::size_t{32} * 1024;
/// What forwarding a request takes beside its header and body, in bytes: its state, the exchange with its
/// target, and the buffers of both connections.
constexpr std::size_t request_memory = std::size_t{24} * 1024;
/// @name Limits of the addresses for readiness and metrics. What they hold has no account, so that both
/// answer when there is no memory for callers.
/// @{
constexpr std::size_t max_observer_body = std::size_t{1} * 1024;
constexpr std::size_t max_observer_header = std::size_t{8} * 1024;
constexpr milliseconds observer_timeout{5'000};
constexpr std::size_t max_observers = 32;
/// @}
/// Retry-After of a process that has read no configuration yet.
constexpr milliseconds no_configuration_retry_after{300};

} // namespace

http_limits gateway::state::observer_limits()
{
    return {.max_body = max_observer_body,
            .max_header = max_observer_header,
            .read_timeout = observer_timeout,
            .write_timeout = observer_timeout,
            .max_connections = max_observers};
}

http_limits gateway::state::frontend_limits()
{
    http_limits limits{.max_connections = options.max_connections,
                       .stream_body_above = max_short_body,
                       .memory = options.memory,
                       .request_memory = request_memory,
                       .make_memory_full_response = [this] { return refuse_without_memory(); }};
    if (const auto current = config.current())
    {
        limits.max_body = current->limits.max_body;
        limits.max_header = current->limits.max_header;
        limits.header_timeout = current->limits.header_timeout;
        limits.idle_timeout = current->limits.idle_timeout;
    }
    return limits;
}

http_response gateway::state::refuse_without_memory()
{
    // The request has not been read, so that it has no id.
    const request_id refusal_id{std::to_string(++memory_refusals)};
    registry
        .get_counter("masticcourse_memory_refusals_total", "Requests refused because there was no memory.")
        .add();
    log_event(event_id::request_refused, {{"reason", "memory_full"},
                                          {"held", std::to_string(options.memory->held())},
                                          {"capacity", std::to_string(options.memory->capacity())}});
    return protocol.encode(refusal{.reason = refusal_reason::memory_full,
                                   .detail = "no memory is left for a further request",
                                   .retry_after = memory_retry_after(refusal_id)});
}

void gateway::state::serve(http_request request, std::shared_ptr<http_exchange> exchange)
{
    auto decoded = protocol.decode(std::move(request));
    if (const auto* const fault = std::get_if<refusal>(&decoded))
    {
        log_event(event_id::request_refused,
                  {{"reason", std::string{to_string(fault->reason)}}, {"detail", fault->detail}});
        exchange->respond(protocol.encode(*fault));
        return;
    }
    auto& decoded_request = std::get<gateway_request>(decoded);
    if (!config.current() || !target_rows.loaded())
    {
        log_event(event_id::request_refused,
                  {{"request", decoded_request.id.value}, {"reason", "no_configuration"}});
        exchange->respond(protocol.encode(refusal{.reason = refusal_reason::no_configuration,
                                                  .detail = "no configuration has been read yet",
                                                  .retry_after = no_configuration_retry_after}));
        return;
    }
    if (refuse_busy(decoded_request, exchange))
    {
        return;
    }
    if (tables.currency() != table_currency::out_of_date)
    {
        forward(std::move(decoded_request), std::move(exchange));
        return;
    }
    tables.refresh(
        [this, received = monotonic_now(), it = std::move(decoded_request),
         exchange = std::move(exchange)]() mutable
        {
            if (it.timeout)
            {
                *it.timeout -= std::chrono::floor<milliseconds>(monotonic_now() - received);
            }
            forward(std::move(it), std::move(exchange));
        });
}

bool gateway::state::refuse_busy(const gateway_request& request,
                                 const std::shared_ptr<http_exchange>& exchange)
{
    const auto waited = std::chrono::floor<duration>(loop.traffic_delay());
    traffic_delays.record(waited);
    const auto load = processor.observe(waited, monotonic_now());
    const bool refused =
        load == processor_load::overloaded || (load == processor_load::busy && starts_program(request));
    if (!refused)
    {
        return false;
    }
    refuse(request.id, *exchange,
           {.reason = refusal_reason::processor_busy,
            .detail = "no processor time for a further request",
            .retry_after = processor_retry_after(request.id)},
           {"delay_ms", std::to_string(std::chrono::floor<milliseconds>(waited).count())});
    return true;
}

void gateway::state::refuse(const request_id& id, http_exchange& exchange, const refusal& given,
                            event_field evidence)
{
    log_event(event_id::request_refused,
              {{"request", id.value}, {"reason", std::string{to_string(given.reason)}}, std::move(evidence)});
    exchange.respond(protocol.encode(given));
}

bool gateway::state::starts_program(const gateway_request& request) const
{
    if (!request.program || request.program->previous_turn)
    {
        return false;
    }
    const std::string_view target{request.target};
    const auto* const route = config.current()->find_route(request.host, target.substr(0, target.find('?')));
    return route != nullptr && route->retains_turns();
}

void gateway::state::forward(gateway_request request, std::shared_ptr<http_exchange> exchange)
{
    if (tables.currency() == table_currency::out_of_date)
    {
        refuse(request.id, *exchange,
               {.reason = refusal_reason::tables_out_of_date,
                .detail = "the configuration may have changed, and the store does not tell",
                .retry_after = tables_retry_after(request.id)},
               {"tables_ms", std::to_string(std::chrono::floor<milliseconds>(tables.age()).count())});
        return;
    }
    if (requests_in_progress.size() >= options.max_requests)
    {
        refuse(request.id, *exchange,
               {.reason = refusal_reason::connections_full,
                .detail = "no connections are left for a further request",
                .retry_after = connections_retry_after(request.id)},
               {"in_progress", std::to_string(requests_in_progress.size())});
        return;
    }
    const auto number = ++last_request;
    requests_in_progress.emplace(number, std::weak_ptr<request_in_progress>{});
    const auto started = monotonic_now();
    const auto forwarded = forward_request(
        services, config.current(), std::move(request), std::move(exchange),
        [this, number, started](request_outcome outcome)
        {
            requests_in_progress.erase(number);
            const std::vector<metric_label> labels{{"end", std::string{to_string(outcome)}}};
            registry.get_counter("masticcourse_requests_total", "Requests by their end.", labels).add();
            registry.get_histogram("masticcourse_request_seconds", "From a request to its end.", labels)
                .record(monotonic_now() - started);
        });
    if (const auto it = requests_in_progress.find(number); it != requests_in_progress.end())
    {
        it->second = forwarded;
    }
}

} // namespace masticcourse::gateway
