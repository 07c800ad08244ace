#include "backend_call.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace masticcourse::detail
{

namespace
{

/// By these answers a target says that it has not run a request.
constexpr std::array refusing_statuses{400, 401, 403, 404, 405, 409, 413, 415, 422, 429};

} // namespace

call_outcome lost_outcome(const call_request& request, std::string detail)
{
    if (request.idempotent)
    {
        return {
            .error = {.id = problem_id::target_failed, .ran = ran_state::yes, .detail = std::move(detail)}};
    }
    return {
        .error = {.id = problem_id::outcome_unknown, .ran = ran_state::unknown, .detail = std::move(detail)}};
}

call_outcome failure_of(const call_request& request, const http_client_reply& reply)
{
    if (reply.failure == http_failure::connect)
    {
        return {.error = {.id = problem_id::target_failed,
                          .ran = ran_state::no,
                          .detail = "the target takes no connections"}};
    }
    if (std::ranges::find(refusing_statuses, reply.status) != refusing_statuses.end())
    {
        return {.error = {.id = problem_id::target_refused,
                          .ran = ran_state::no,
                          .detail = "the target refused with " + std::to_string(reply.status)}};
    }
    if (reply.status != 0)
    {
        return lost_outcome(request, "the target failed with " + std::to_string(reply.status));
    }
    const bool late = reply.failure == http_failure::timeout;
    return lost_outcome(request, late ? "the target gave no answer in time" : "the connection broke");
}

} // namespace masticcourse::detail
