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
struct slice_name
{
    workspace_id workspace;
    std::size_t index = 0;

    friend bool operator==(const slice_name&, const slice_name&) = default;
};

struct slice_question
{
    slice_name slice;
    slice_demand demand;
};

/// The gateway asked does not hold the slice.
struct not_holder
{
    friend bool operator==(const not_holder&, const not_holder&) = default;
};

using slice_answer = std::variant<not_holder, slice_grant>;

/// @name On the wire between gateways: CBOR, arrays in a fixed order
/// @{
[[nodiscard]] std::string encode(const slice_question& question);
/// @return nothing if @a bytes are no question
[[nodiscard]] std::optional<slice_question> decode_slice_question(const std::string& bytes);
[[nodiscard]] std::string encode(const slice_answer& answer);
/// @return nothing if @a bytes are no answer
[[nodiscard]] std::optional<slice_answer> decode_slice_answer(const std::string& bytes);
/// @}

} // namespace masticcourse::gateway
