/// @file
/// Messages with which a gateway follows a table through another gateway.
#pragma once

#include "masticcourse/gateway/row_store.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

struct relay_request
{
    std::string table;
    /// The version up to which the sender has read the table; 0 if it has not.
    row_version after = 0;
    /// How long the receiver may wait for news before it replies.
    milliseconds wait{};
};

struct relay_reply
{
    /// Whether `rows` is the whole table instead of the changes since the requested version.
    bool snapshot = false;
    std::vector<stored_row> rows;
    /// The version up to which the sender has read the table; 0 if it has not.
    row_version version = 0;
    /// Time since the store confirmed that there were no changes after `version`.
    milliseconds age{};
    /// Time since the sender, or a gateway that it follows, last had no way to the table: neither directly
    /// nor through a peer.
    milliseconds since_failure{};
    /// Time from the receipt of the request to the reply. Sent beside the encoded reply, so that gateways of
    /// earlier versions understand both.
    milliseconds held{};
};

/// A reply as the requester receives it.
struct relayed_reply
{
    /// The encoded relay_reply.
    std::string bytes;
    /// relay_reply::held; nothing if the sender is of a version that does not state it.
    std::optional<milliseconds> held;
};

/// Receives the reply of a gateway, or nothing if there was none.
using relay_callback = std::function<void(std::optional<relayed_reply>)>;
/// Sends an encoded relay_request to the gateway at @a address.
using relay_call = std::function<void(const std::string& address, std::string bytes, relay_callback)>;

/// @name Wire format between gateways: CBOR arrays with a fixed order of elements
/// @{
[[nodiscard]] std::string encode(const relay_request& request);
/// @return `std::nullopt` if @a bytes is not a valid request
[[nodiscard]] std::optional<relay_request> decode_relay_request(const std::string& bytes);
[[nodiscard]] std::string encode(const relay_reply& reply);
/// @param table the table that the rows belong to
/// @return `std::nullopt` if @a bytes is not a valid reply
[[nodiscard]] std::optional<relay_reply> decode_relay_reply(const std::string& bytes,
                                                            const std::string& table);
/// @}

} // namespace masticcourse::gateway
