/// @file
/// What gateways say to each other about quotas.
#pragma once

#include "masticcourse/gateway/quota/quota_slice.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>

namespace masticcourse::gateway
{

/// Names one slice of a workspace's quota.
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

/// The gateway asked does not hold the slice.
struct not_holder
{
    friend bool operator==(const not_holder&, const not_holder&) = default;
};

using grant_response = std::variant<not_holder, slice_grant>;

/// @name On the wire between gateways: CBOR, arrays in a fixed order
/// @{
[[nodiscard]] std::string encode(const grant_request& request);
/// @return nothing if @a bytes are no question
[[nodiscard]] std::optional<grant_request> decode_grant_request(const std::string& bytes);
[[nodiscard]] std::string encode(const grant_response& response);
/// @return nothing if @a bytes are no answer
[[nodiscard]] std::optional<grant_response> decode_grant_response(const std::string& bytes);
/// @}

} // namespace masticcourse::gateway
