/// @file
/// What callers and operators may ask of an entry process, as typed requests.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/core/problem.hpp"
#include "masticcourse/messages/peer_message.hpp"
#include "masticcourse/model/call.hpp"
#include "masticcourse/settings/config_document.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace masticcourse
{

/// @name Requests
/// @{

/// `POST /v1/programs`
struct create_program
{
    /// The caller's key; the same key creates the same program. Empty: a new program each time.
    std::string key;
    program_spec spec;
};

/// `POST /v1/programs/{id}/calls`
struct submit_call
{
    program_id program;
    call_request call;
};

/// `GET /v1/programs/{id}/calls/{key}`
struct get_call
{
    program_id program;
    call_key key;
};

/// `GET /v1/programs/{id}/history`
struct get_history
{
    program_id program;
};

/// `DELETE /v1/programs/{id}`
struct end_program
{
    program_id program;
};

/// `GET /v1/programs`, for operators
struct list_programs
{
};

/// `GET /v1/status`, for operators
struct get_status
{
};

/// `GET /v1/config`, for operators
struct get_config
{
};

/// `PATCH /v1/config`, for operators
struct patch_config
{
    config_version expected = 0;
    std::string patch;
};
/// @}

using api_request = std::variant<create_program, submit_call, get_call, get_history, end_program,
                                 list_programs, get_status, get_config, patch_config>;

/// A typed request, or why it is none.
struct parsed_request
{
    std::optional<api_request> request;
    problem error;
};

/// Reads a request of the HTTP API.
/// @param raw    the request as it came; `workspace` empty means that the operators' token was given
/// @param config the configuration in force: it knows the services and their kinds
/// @return the typed request, or a problem with `ran: no`
[[nodiscard]] parsed_request parse_api_request(const forward_request& raw, const config_view& config);

/// The program that a request is about; empty for requests that any entry can answer.
[[nodiscard]] program_id program_of(const api_request& request);

} // namespace masticcourse
