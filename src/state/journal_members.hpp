/// @file
/// The stored form of the journal's records.
#pragma once

#include "../codec/model_members.hpp"
#include "masticcourse/state/journal_record.hpp"

namespace masticcourse
{

namespace codec
{

/// A name never changes its meaning.
template <>
inline constexpr std::array<std::string_view, std::variant_size_v<journal_payload>>
    alternative_names<journal_payload>{"created",   "escrow", "intended", "turn",
                                       "withdrawn", "ended",  "snapshot", "probe"};

} // namespace codec

template <codec::maybe_const<program_created> T>
auto members(T& it)
{
    return std::tie(it.program, it.spec);
}

template <codec::maybe_const<escrow_taken> T>
auto members(T& it)
{
    return std::tie(it.program, it.total);
}

template <codec::maybe_const<call_intended> T>
auto members(T& it)
{
    return std::tie(it.program, it.request, it.target, it.target_incarnation);
}

template <codec::maybe_const<turn_committed> T>
auto members(T& it)
{
    return std::tie(it.program, it.finished, it.spent);
}

template <codec::maybe_const<intent_withdrawn> T>
auto members(T& it)
{
    return std::tie(it.program, it.key);
}

template <codec::maybe_const<program_ended> T>
auto members(T& it)
{
    return std::tie(it.program);
}

template <codec::maybe_const<program_snapshot> T>
auto members(T& it)
{
    return std::tie(it.program, it.spec, it.spent, it.escrow, it.ended, it.turns, it.intents);
}

template <codec::maybe_const<ownership_probe> T>
auto members(T& /*it*/)
{
    return std::tuple<>();
}

template <codec::maybe_const<journal_record> T>
auto members(T& it)
{
    return std::tie(it.shard, it.epoch, it.payload);
}

template <codec::maybe_const<journal_entry> T>
auto members(T& it)
{
    return std::tie(it.journal, it.writer, it.index, it.seal, it.records);
}

} // namespace masticcourse
