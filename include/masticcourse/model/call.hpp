/// @file
/// Programs, their calls and the outcomes of calls, as shared by all processes.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/core/problem.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse
{

/// The kind of a call: text generation by a model, or one action of a plain service.
enum class call_kind : std::uint8_t
{
    model,
    tool,
};

/// Priority classes, highest first. Assistance to claimants and foremen has the highest priority.
enum class service_class : std::uint8_t
{
    assistance,
    standard,
    background,
};

/// The parameters of a program, set at its creation by an operator or a caller.
struct program_spec
{
    workspace_id workspace;
    service_class priority = service_class::standard;
    /// Tokens that the program and all its sub-agents may use in total.
    token_count budget = 0;
    /// Time limit of the whole program, if any.
    std::optional<std::chrono::milliseconds> deadline;
    /// The parent program if this is a sub-agent; the sub-agent is charged to the parent's budget.
    program_id parent;

    friend bool operator==(const program_spec&, const program_spec&) = default;
};

/// A call as sent by the caller.
struct call_request
{
    call_key key;
    service_name service;
    call_kind kind = call_kind::model;
    std::string input;
    bool idempotent = true;
    /// Maximum number of completion tokens (model calls only).
    token_count max_tokens = 0;
    std::optional<std::chrono::milliseconds> deadline;
    /// The number of turns of this program whose outcomes the caller has received.
    std::optional<std::uint32_t> after;

    friend bool operator==(const call_request&, const call_request&) = default;
};

/// The tokens used by a call, as reported by the target.
struct token_usage
{
    token_count prompt = 0;
    /// The part of @a prompt that the engine served from its prefix cache.
    token_count cached = 0;
    token_count completion = 0;

    [[nodiscard]] token_count charged() const
    {
        return prompt + completion;
    }

    friend bool operator==(const token_usage&, const token_usage&) = default;
};

/// The outcome of a call. `error.failed()` indicates failure; `error.ran` tells whether the call was
/// executed.
struct call_outcome
{
    std::string output;
    token_usage usage;
    problem error;

    friend bool operator==(const call_outcome&, const call_outcome&) = default;
};

/// One completed turn in a program's history.
struct turn
{
    std::uint32_t number = 0;
    call_key key;
    /// XXH64 digest of the request, used to reject an idempotency key that is reused with a different body.
    std::uint64_t request_digest = 0;
    service_name service;
    call_kind kind = call_kind::model;
    std::string input;
    call_outcome outcome;

    friend bool operator==(const turn&, const turn&) = default;
};

/// Returns the upper bound of a call's cost in tokens: the whole prompt plus the longest completion.
/// @param history_tokens tokens in the program's history so far
[[nodiscard]] token_count worst_case_cost(const call_request& request, token_count history_tokens);

/// Estimates the number of tokens in @a text by its number of words, for use when no engine has reported a
/// count.
[[nodiscard]] token_count estimate_tokens(const std::string& text);

/// Returns the digest that identifies a repeated request.
[[nodiscard]] std::uint64_t digest_of(const call_request& request);

} // namespace masticcourse
