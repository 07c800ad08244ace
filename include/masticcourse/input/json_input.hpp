/// @file
/// The bodies that callers send, read with bounds on size and depth. Nothing here throws: what is wrong with
/// a body comes back as a problem with `ran: no` that names the fields.
#pragma once

#include "masticcourse/core/problem.hpp"
#include "masticcourse/model/call.hpp"
#include "masticcourse/settings/config_document.hpp"

#include <cstddef>
#include <string>
#include <variant>

namespace masticcourse
{

/// What a body may be.
struct input_limits
{
    std::size_t max_body = std::size_t{1} << 20U;
    std::size_t max_input = std::size_t{256} << 10U;
};

/// The length of answer that a model call may have if its body names none.
inline constexpr token_count default_max_tokens = 1024;

/// Reads the body of `POST /v1/programs`: `budget`, and if given `workspace`, `class`, `deadline_ms`,
/// `parent`. The workspace is left empty if the body names none.
[[nodiscard]] std::variant<program_spec, problem> read_program_spec(const std::string& body,
                                                                    const input_limits& limits = {});

/// Reads the body of `POST /v1/programs/{id}/calls`: `service`, `input`, and if given `idempotent`,
/// `max_tokens`, `deadline_ms`, `after`.
/// @param key    the call's key, from its header; an empty or overlong one is a fault
/// @param config if given, the service must be in it, and what the body leaves out comes from there;
/// otherwise
///               a call counts as a model call, and as idempotent only if the body says so
[[nodiscard]] std::variant<call_request, problem> read_call_request(const std::string& body,
                                                                    const call_key& key,
                                                                    const input_limits& limits = {},
                                                                    const config_view* config = nullptr);

} // namespace masticcourse
