/// @file
/// Messages by which gateways tell each other which requests they suspect.
#pragma once

#include "masticcourse/gateway/poison_detection.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

/// Maximum number of reports in one message.
inline constexpr std::size_t max_suspicion_reports = 256;

/// What a gateway tells another one.
struct suspicion_news
{
    /// Address of the sender, which needs not to be told the same again.
    std::string sender;
    /// The sender asks for all suspicions, and to be told the news from now on.
    bool wants_all = false;
    std::vector<suspicion_report> reports;

    friend bool operator==(const suspicion_news&, const suspicion_news&) = default;
};

/// The reply: what the receiver knows better, or all of it if the sender asked for that.
struct suspicion_reply
{
    std::vector<suspicion_report> reports;

    friend bool operator==(const suspicion_reply&, const suspicion_reply&) = default;
};

/// @name Wire format between gateways: CBOR arrays with a fixed order of elements
/// @{
[[nodiscard]] std::string encode(const suspicion_news& news);
[[nodiscard]] std::string encode(const suspicion_reply& reply);
/// @return nothing if @a bytes is not a valid message
[[nodiscard]] std::optional<suspicion_news> decode_suspicion_news(const std::string& bytes);
[[nodiscard]] std::optional<suspicion_reply> decode_suspicion_reply(const std::string& bytes);
/// @}

} // namespace masticcourse::gateway
