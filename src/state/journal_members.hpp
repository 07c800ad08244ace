/// @file
/// The stored form of the journal's records.
#pragma once

#include "../codec/model_members.hpp"
#include "masticcourse/state/journal_record.hpp"

namespace masticcourse
{

template <codec::like<program_created> T>
auto members(T& it)
{
    return std::tie(it.program, it.spec);
}

template <codec::like<escrow_taken> T>
auto members(T& it)
{
    return std::tie(it.program, it.total);
}

template <codec::like<call_intended> T>
auto members(T& it)
{
    return std::tie(it.program, it.request, it.target, it.target_incarnation);
}

template <codec::like<turn_committed> T>
auto members(T& it)
{
    return std::tie(it.program, it.finished, it.spent);
}

template <codec::like<intent_withdrawn> T>
auto members(T& it)
{
    return std::tie(it.program, it.key);
}

template <codec::like<program_ended> T>
auto members(T& it)
{
    return std::tie(it.program);
}

template <codec::like<ownership_probe> T>
auto members(T& /*it*/)
{
    return std::tuple<>{};
}

template <codec::like<program_snapshot> T>
auto members(T& it)
{
    return std::tie(it.program, it.spec, it.spent, it.escrow, it.ended, it.turns, it.intents);
}

} // namespace masticcourse
