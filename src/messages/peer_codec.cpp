// Messages between processes as CBOR: an array of the message's short name and its members in order.
#include "peer_members.hpp"

namespace masticcourse
{

std::string encode(const peer_message& message)
{
    return codec::to_cbor(codec::writer{}(message));
}

std::optional<peer_message> decode_message(const std::string& bytes)
{
    const auto value = codec::from_cbor(bytes);
    if (!value)
    {
        return std::nullopt;
    }
    codec::reader in;
    peer_message result;
    in(*value, result);
    return in.ok() ? std::optional(std::move(result)) : std::nullopt;
}

} // namespace masticcourse
