#include "masticcourse/gateway/request_forwarding.hpp"

#include "forwarded_request.hpp"

#include <functional>
#include <utility>

namespace masticcourse::gateway
{

std::string_view to_string(request_outcome outcome)
{
    switch (outcome)
    {
    case request_outcome::answered:
        return "answered";
    case request_outcome::refused:
        return "refused";
    case request_outcome::broken_off:
        return "broken_off";
    case request_outcome::cancelled:
        break;
    }
    return "cancelled";
}

std::string_view to_string(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::malformed:
        return "malformed";
    case refusal_reason::no_configuration:
        return "no_configuration";
    case refusal_reason::no_route:
        return "no_route";
    case refusal_reason::unknown_key:
        return "unknown_key";
    case refusal_reason::key_undecided:
        return "key_undecided";
    case refusal_reason::tables_out_of_date:
        return "tables_out_of_date";
    case refusal_reason::over_quota:
        return "over_quota";
    case refusal_reason::quota_undecided:
        return "quota_undecided";
    case refusal_reason::no_such_turn:
        return "no_such_turn";
    case refusal_reason::history_too_long:
        return "history_too_long";
    case refusal_reason::not_resumable:
        return "not_resumable";
    case refusal_reason::over_budget:
        return "over_budget";
    case refusal_reason::store_away:
        return "store_away";
    case refusal_reason::no_target:
        return "no_target";
    case refusal_reason::targets_full:
        return "targets_full";
    case refusal_reason::target_failed:
        return "target_failed";
    case refusal_reason::poison_request:
        return "poison_request";
    case refusal_reason::memory_full:
        return "memory_full";
    case refusal_reason::body_stalled:
        return "body_stalled";
    case refusal_reason::processor_busy:
        return "processor_busy";
    case refusal_reason::connections_full:
        return "connections_full";
    case refusal_reason::shutting_down:
        return "shutting_down";
    case refusal_reason::deadline_passed:
        break;
    }
    return "deadline_passed";
}

namespace
{

/// @return a time between @a least and @a least + @a spread that differs from request to request
milliseconds spread_retry_after(const request_id& id, milliseconds least, milliseconds spread)
{
    const auto part = std::hash<request_id>{}(id) % static_cast<std::size_t>(spread.count());
    return least + milliseconds{static_cast<milliseconds::rep>(part)};
}

} // namespace

milliseconds tables_retry_after(const request_id& id)
{
    // The store is read again within about this time.
    return spread_retry_after(id, milliseconds{200}, milliseconds{400});
}

milliseconds processor_retry_after(const request_id& id)
{
    // Short, since callers reach another gateway with their next attempt.
    return spread_retry_after(id, milliseconds{50}, milliseconds{200});
}

milliseconds shutdown_retry_after(const request_id& id)
{
    // As for those that find no processor time: the next attempt reaches another gateway.
    return processor_retry_after(id);
}

milliseconds connections_retry_after(const request_id& id)
{
    // Connections come back as targets respond.
    return spread_retry_after(id, milliseconds{300}, milliseconds{700});
}

milliseconds memory_retry_after(const request_id& id)
{
    // Room comes back as bodies reach their targets, within tenths of a second; the spread keeps the callers
    // from returning together.
    return spread_retry_after(id, milliseconds{300}, milliseconds{700});
}

std::weak_ptr<request_in_progress> forward_request(forwarding_services& services, config_ptr config,
                                                   gateway_request request,
                                                   std::shared_ptr<http_exchange> exchange,
                                                   std::function<void(request_outcome)> on_finished)
{
    const auto forwarded = std::make_shared<detail::forwarded_request>(
        services, std::move(config), std::move(request), std::move(exchange), std::move(on_finished));
    forwarded->start();
    return forwarded;
}

} // namespace masticcourse::gateway
