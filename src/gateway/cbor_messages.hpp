/// @file
/// Encoding of messages between gateways: CBOR arrays with a fixed order of elements. Malformed messages are
/// discarded as a whole, because the sender may run another version.
#pragma once

#include "../codec/cbor_nesting.hpp"

#include <cstddef>
#include <cstdint>
#include <exception>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace masticcourse::gateway::detail
{

[[nodiscard]] inline std::string encode_cbor(const nlohmann::json& document)
{
    std::string bytes;
    nlohmann::json::to_cbor(document, bytes);
    return bytes;
}

/// @throws std::invalid_argument if the value is not an integer
[[nodiscard]] inline std::int64_t to_integer(const nlohmann::json& it)
{
    if (!it.is_number_integer())
    {
        throw std::invalid_argument("expected an integer");
    }
    return it.get<std::int64_t>();
}

/// @throws std::invalid_argument unless the value is an array of the given size
inline void require_array(const nlohmann::json& it, std::size_t size)
{
    if (!it.is_array() || it.size() != size)
    {
        throw std::invalid_argument("not an array of the expected size");
    }
}

/// @throws std::invalid_argument unless the value is an unsigned integer
template <typename Unsigned>
[[nodiscard]] Unsigned to_unsigned(const nlohmann::json& it)
{
    if (!it.is_number_unsigned())
    {
        throw std::invalid_argument("not an unsigned integer");
    }
    return it.get<Unsigned>();
}

/// @throws std::invalid_argument unless the value is an unsigned integer of 32 bits
[[nodiscard]] inline std::uint32_t to_count(const nlohmann::json& it)
{
    const auto count = to_unsigned<std::uint64_t>(it);
    if (count > std::numeric_limits<std::uint32_t>::max())
    {
        throw std::invalid_argument("count out of range");
    }
    return static_cast<std::uint32_t>(count);
}

/// @return the result of @a read for the document; nothing if it throws or @a bytes is not valid CBOR
template <typename Read>
[[nodiscard]] auto decode_cbor(const std::string& bytes, Read read)
    -> std::optional<decltype(read(nlohmann::json{}))>
{
    if (!codec::is_bounded_message(bytes))
    {
        return std::nullopt;
    }
    try
    {
        return read(nlohmann::json::from_cbor(bytes));
    }
    catch (const std::exception&)
    {
        // The receiver of a malformed request replies with status 400, and the receiver of a malformed reply
        // continues as if there were none.
        return std::nullopt;
    }
}

/// Decodes an array, each element by @a read; returns nothing if any element is malformed.
template <typename Read>
[[nodiscard]] auto decode_array(const std::string& bytes, Read read)
    -> std::optional<std::vector<decltype(read(nlohmann::json{}))>>
{
    return decode_cbor(bytes,
                       [&read](const nlohmann::json& document)
                       {
                           std::vector<decltype(read(nlohmann::json{}))> found;
                           for (const auto& it : document)
                           {
                               found.push_back(read(it));
                           }
                           return found;
                       });
}

/// Decodes an array of exactly one element.
template <typename Read>
[[nodiscard]] auto decode_single(const std::string& bytes, Read read)
    -> std::optional<decltype(read(nlohmann::json{}))>
{
    auto found = decode_array(bytes, read);
    return found && found->size() == 1 ? std::optional{std::move(found->front())} : std::nullopt;
}

} // namespace masticcourse::gateway::detail
