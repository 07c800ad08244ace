/// @file
/// Messages between gateways to acquire permits from a quota slice.
#pragma once

#include "masticcourse/gateway/quota/quota_slice.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>

namespace masticcourse::gateway
{

/// Identifies one slice of a workspace's quota.
struct slice_id
{
    workspace_id workspace;
    std::size_t index = 0;

    friend bool operator==(const slice_id&, const slice_id&) = default;
};

struct grant_request
{
    slice_id slice;
    slice_demand demand;
};

/// The receiving gateway does not hold the slice.
struct not_holder
{
    friend bool operator==(const not_holder&, const not_holder&) = default;
};

using grant_response = std::variant<not_holder, slice_grant>;

/// @name Wire format between gateways: CBOR arrays with a fixed order of elements
/// @{
[[nodiscard]] std::string encode(const grant_request& request);
/// @return `std::nullopt` if @a bytes is not a valid request
[[nodiscard]] std::optional<grant_request> decode_grant_request(const std::string& bytes);
[[nodiscard]] std::string encode(const grant_response& response);
/// @return `std::nullopt` if @a bytes is not a valid response
[[nodiscard]] std::optional<grant_response> decode_grant_response(const std::string& bytes);
/// @}

} // namespace masticcourse::gateway
