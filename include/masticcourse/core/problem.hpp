/// @file
/// Errors reported to callers: RFC 9457 problem details with stable numeric ids.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticcourse
{

/// Whether the request was executed by its target.
/// `no` guarantees that it was not. `unknown` means that this can no longer be determined; such a request is
/// never executed again.
enum class ran_state : std::uint8_t
{
    no,
    yes,
    unknown,
};

[[nodiscard]] std::string_view to_string(ran_state state);

/// Stable problem ids. The meaning of a number never changes; docs/PROBLEMS.md lists all of them.
enum class problem_id : std::uint16_t
{
    none = 0,
    // 1xx: invalid requests
    malformed_request = 101,
    body_too_large = 102,
    wrong_method = 103,
    unknown_path = 104,
    unauthorized = 105,
    invalid_field = 106,
    key_reused = 107,
    // 2xx: programs and calls
    unknown_program = 201,
    unknown_call = 202,
    program_ended = 203,
    turn_out_of_order = 204,
    budget_exceeded = 205,
    turn_limit = 206,
    repeated_call = 207,
    history_not_recovered = 208,
    // 3xx: targets
    unknown_service = 301,
    no_target = 302,
    target_refused = 303,
    target_failed = 304,
    deadline_passed = 305,
    outcome_unknown = 306,
    cancelled = 307,
    overloaded = 308,
    // 4xx: program ownership and the platform's store
    no_home = 401,
    store_unavailable = 402,
    isolated = 403,
    stopping = 404,
    lost_home = 405,
    // 5xx: configuration
    version_conflict = 501,
    invalid_patch = 502,
};

/// A failure as reported to the caller.
struct problem
{
    problem_id id = problem_id::none;
    ran_state ran = ran_state::no;
    std::string detail;
    /// The delay after which to retry; empty if a retry cannot help.
    std::optional<std::chrono::milliseconds> retry_after;

    [[nodiscard]] bool failed() const
    {
        return id != problem_id::none;
    }

    friend bool operator==(const problem&, const problem&) = default;
};

/// @return the HTTP status of @a id
[[nodiscard]] int http_status(problem_id id);

/// @return the short, stable title of @a id
[[nodiscard]] std::string_view title_of(problem_id id);

} // namespace masticcourse
