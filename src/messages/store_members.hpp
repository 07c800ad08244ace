/// @file
/// Operations on the store and their answers as they travel between processes.
#pragma once

#include "../codec/cbor.hpp"
#include "masticcourse/store/store_op.hpp"

namespace masticcourse
{

template <codec::maybe_const<table_get> T>
auto members(T& it)
{
    return std::tie(it.key);
}

template <codec::maybe_const<table_put> T>
auto members(T& it)
{
    return std::tie(it.key, it.value, it.expected);
}

template <codec::maybe_const<table_list> T>
auto members(T& it)
{
    return std::tie(it.prefix);
}

template <codec::maybe_const<object_create> T>
auto members(T& it)
{
    return std::tie(it.key, it.bytes);
}

template <codec::maybe_const<object_get> T>
auto members(T& it)
{
    return std::tie(it.key);
}

template <codec::maybe_const<object_delete> T>
auto members(T& it)
{
    return std::tie(it.key);
}

template <codec::maybe_const<object_list> T>
auto members(T& it)
{
    return std::tie(it.prefix);
}

template <codec::maybe_const<table_row> T>
auto members(T& it)
{
    return std::tie(it.key, it.value, it.version);
}

template <codec::maybe_const<store_reply> T>
auto members(T& it)
{
    return std::tie(it.status, it.version, it.value, it.rows);
}

namespace codec
{

template <>
inline constexpr std::array<std::string_view, std::variant_size_v<store_op>> alternative_names<store_op>{
    "get", "put", "list", "create", "read", "delete", "keys"};

template <>
inline constexpr unsigned max_enum_value<store_status> = static_cast<unsigned>(store_status::outcome_unknown);

} // namespace codec

} // namespace masticcourse
