/// @file
/// Parses request bodies with limits on size and nesting depth. Nothing here throws: an invalid body yields a
/// problem with `ran: no` that names the invalid fields.
#pragma once

#include "masticcourse/core/problem.hpp"
#include "masticcourse/model/call.hpp"
#include "masticcourse/settings/config_document.hpp"

#include <cstddef>
#include <string>
#include <variant>

namespace masticcourse
{

/// Limits of a request body, in bytes.
struct input_limits
{
    std::size_t max_body = std::size_t{1} << 20U;
    /// Maximum length of a call's `input`.
    std::size_t max_input = std::size_t{256} << 10U;
};

/// Maximum number of completion tokens if the body has no `max_tokens`.
inline constexpr token_count default_max_tokens = 1024;

/// Parses the body of `POST /v1/programs`: `budget`, and optionally `workspace`, `class`, `deadline_ms` and
/// `parent`. The workspace is empty if the body has none.
[[nodiscard]] std::variant<program_spec, problem> read_program_spec(const std::string& body,
                                                                    const input_limits& limits = {});

/// Parses the body of `POST /v1/programs/{id}/calls`: `service` and `input`, and optionally `idempotent`,
/// `max_tokens`, `deadline_ms` and `after`.
/// @param key    the idempotency key from the request header; an empty or overlong key is an error
/// @param config if not null, the service must be in it, and it provides the defaults of omitted members;
///               otherwise the call is a model call, and idempotent only if the body says so
[[nodiscard]] std::variant<call_request, problem> read_call_request(const std::string& body,
                                                                    const call_key& key,
                                                                    const input_limits& limits = {},
                                                                    const config_view* config = nullptr);

} // namespace masticcourse
