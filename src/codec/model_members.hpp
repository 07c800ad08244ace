/// @file
/// Serialization of the model types, shared by peer messages and the journal.
#pragma once

#include "cbor.hpp"
#include "masticcourse/core/problem.hpp"
#include "masticcourse/model/call.hpp"

#include <limits>
#include <type_traits>

namespace masticcourse
{

namespace codec
{

template <>
inline constexpr unsigned max_enum_value<call_kind> = static_cast<unsigned>(call_kind::tool);
template <>
inline constexpr unsigned max_enum_value<service_class> = static_cast<unsigned>(service_class::background);
template <>
inline constexpr unsigned max_enum_value<ran_state> = static_cast<unsigned>(ran_state::unknown);
/// Not limited to the known ids, so that older processes forward ids defined by newer ones.
template <>
inline constexpr unsigned max_enum_value<problem_id> =
    std::numeric_limits<std::underlying_type_t<problem_id>>::max();

} // namespace codec

template <codec::maybe_const<program_spec> T>
auto members(T& it)
{
    return std::tie(it.workspace, it.priority, it.budget, it.deadline, it.parent);
}

template <codec::maybe_const<call_request> T>
auto members(T& it)
{
    return std::tie(it.key, it.service, it.kind, it.input, it.idempotent, it.max_tokens, it.deadline,
                    it.after);
}

template <codec::maybe_const<token_usage> T>
auto members(T& it)
{
    return std::tie(it.prompt, it.cached, it.completion);
}

template <codec::maybe_const<problem> T>
auto members(T& it)
{
    return std::tie(it.id, it.ran, it.detail, it.retry_after);
}

template <codec::maybe_const<call_outcome> T>
auto members(T& it)
{
    return std::tie(it.output, it.usage, it.error);
}

template <codec::maybe_const<turn> T>
auto members(T& it)
{
    return std::tie(it.number, it.key, it.request_digest, it.service, it.kind, it.input, it.outcome);
}

} // namespace masticcourse
