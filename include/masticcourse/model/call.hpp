/// @file
/// Programs, their calls and what comes of them, as every process knows them.
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

/// What a call asks for: tokens of a model, or one action of a plain service.
enum class call_kind : std::uint8_t
{
    model,
    tool,
};

/// The order of the users' classes: assistance to claimants and foremen comes first.
enum class service_class : std::uint8_t
{
    assistance,
    standard,
    background,
};

/// What an operator or caller fixes when a program is created.
struct program_spec
{
    workspace_id workspace;
    service_class priority = service_class::standard;
    /// Tokens that the program and all its sub-agents may spend.
    token_count budget = 0;
    /// How long the whole program may take, if bounded.
    std::optional<std::chrono::milliseconds> deadline;
    /// The program that this one is a sub-agent of; it draws on that one's budget.
    program_id parent;

    friend bool operator==(const program_spec&, const program_spec&) = default;
};

/// One call as the caller sends it.
struct call_request
{
    call_key key;
    service_name service;
    call_kind kind = call_kind::model;
    std::string input;
    bool idempotent = true;
    /// Most tokens that the answer may have (model calls).
    token_count max_tokens = 0;
    std::optional<std::chrono::milliseconds> deadline;
    /// The number of turns of this program whose outcome the caller has seen.
    std::optional<std::uint32_t> after;

    friend bool operator==(const call_request&, const call_request&) = default;
};

/// What a call cost, as the target reported it.
struct token_usage
{
    token_count prompt = 0;
    /// The part of @a prompt that the engine found in its cache.
    token_count cached = 0;
    token_count completion = 0;

    [[nodiscard]] token_count charged() const
    {
        return prompt + completion;
    }

    friend bool operator==(const token_usage&, const token_usage&) = default;
};

/// What came of a call. `error.failed()` tells failure; `ran` inside says whether it ran.
struct call_outcome
{
    std::string output;
    token_usage usage;
    problem error;

    friend bool operator==(const call_outcome&, const call_outcome&) = default;
};

/// One finished turn of a program's history.
struct turn
{
    std::uint32_t number = 0;
    call_key key;
    /// xxh64 of the request, to refuse a key that comes again with another body.
    std::uint64_t request_digest = 0;
    service_name service;
    call_kind kind = call_kind::model;
    std::string input;
    call_outcome outcome;

    friend bool operator==(const turn&, const turn&) = default;
};

/// The most tokens that a call can cost: the whole prompt and the longest answer.
/// @param history_tokens tokens of the program's history so far
[[nodiscard]] token_count worst_case_cost(const call_request& request, token_count history_tokens);

/// The number of tokens that @a text counts for when no engine has said so: its words.
[[nodiscard]] token_count estimate_tokens(const std::string& text);

/// The digest by which a repeated request is recognised.
[[nodiscard]] std::uint64_t digest_of(const call_request& request);

} // namespace masticcourse
