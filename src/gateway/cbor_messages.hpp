/// @file
/// How messages between gateways are written and read: CBOR, arrays in a fixed order. A message that is not
/// as it should be is none: its sender may be of another version.
#pragma once

#include <cstdint>
#include <exception>
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

/// @throws std::invalid_argument unless it is a whole number
[[nodiscard]] inline std::int64_t to_integer(const nlohmann::json& it)
{
    if (!it.is_number_integer())
    {
        throw std::invalid_argument("no whole number");
    }
    return it.get<std::int64_t>();
}

/// @return what @a read makes of the document; nothing if it throws, or if @a bytes are none
template <typename Read>
[[nodiscard]] auto decode_cbor(const std::string& bytes, Read read)
    -> std::optional<decltype(read(nlohmann::json{}))>
{
    try
    {
        return read(nlohmann::json::from_cbor(bytes));
    }
    catch (const std::exception&)
    {
        // The sender is told that nothing was read, and does without.
        return std::nullopt;
    }
}

/// Reads an array of what @a read makes of one element; nothing if any of it is not as it should be.
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

/// Reads an array of exactly one element.
template <typename Read>
[[nodiscard]] auto decode_single(const std::string& bytes, Read read)
    -> std::optional<decltype(read(nlohmann::json{}))>
{
    auto found = decode_array(bytes, read);
    return found && found->size() == 1 ? std::optional{std::move(found->front())} : std::nullopt;
}

} // namespace masticcourse::gateway::detail
