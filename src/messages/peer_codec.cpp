// Messages between processes as CBOR: an array of the message's short name and its members in order.
#include "peer_members.hpp"

#include <array>

namespace masticcourse
{

namespace
{

/// In the order of the variant's alternatives. A name never changes its meaning.
constexpr std::array<std::string_view, std::variant_size_v<peer_message>> message_names{
    "hello",   "beat",   "cfg?",    "cfg",  "call",  "cancel", "ask",   "durable", "renew",
    "release", "no",     "t",       "f",    "know",  "load",   "cache", "fwd",     "fwd_end",
    "fwd_ev",  "owners", "collect", "kept", "live?", "live",   "store", "stored"};

} // namespace

std::string encode(const peer_message& message)
{
    return codec::to_bytes(codec::write_variant(message, message_names));
}

std::optional<peer_message> decode_message(const std::string& bytes)
{
    const auto value = codec::from_bytes(bytes);
    if (!value)
    {
        return std::nullopt;
    }
    codec::reader in;
    peer_message result;
    codec::read_variant(in, *value, message_names, result);
    return in.ok() ? std::optional(std::move(result)) : std::nullopt;
}

} // namespace masticcourse
