/// @file
/// A completed turn of a program, and its form in the rows of the store.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/gateway/row_store.hpp"
#include "masticcourse/gateway/spending_row.hpp"
#include "masticcourse/gateway/target_table.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

/// A turn whose response is complete.
struct turn_record
{
    /// The preceding turns, oldest first; the last one is the direct predecessor. With the whole list, a
    /// reader that has cached none of them can fetch them concurrently instead of one after the other.
    std::vector<request_id> ancestors;
    /// Input sent by the caller.
    std::string input;
    /// Data of the turn's events, each followed by a line feed.
    std::string output;
    /// Failure domain of the target that ran the turn; empty if unknown.
    failure_domain_name domain;
    /// Tokens that the turn generated; empty in records of gateways of earlier versions.
    std::optional<token_count> tokens;
    /// Size of the inputs and outputs of all ancestors, in bytes; empty in records of gateways of earlier
    /// versions.
    std::optional<std::size_t> history_size;

    friend bool operator==(const turn_record&, const turn_record&) = default;
};

/// @return the bytes that the turn adds to the prompt of those that follow it
[[nodiscard]] std::size_t prompt_size(const turn_record& turn);

/// @return the bytes that a list of ids takes
[[nodiscard]] std::size_t memory_size(const std::vector<request_id>& ids);

using turn_ptr = std::shared_ptr<const turn_record>;

/// @return the row of the chunk with that number
[[nodiscard]] row_name chunk_row(const request_id& turn, std::size_t chunk);

/// @return the encoded record, split into chunks that each fit into a row
[[nodiscard]] std::vector<std::string> encode_turn(const turn_record& turn, std::size_t row_bytes);
/// @return nothing if the chunks do not form a complete record
[[nodiscard]] std::optional<turn_record> decode_turn(const std::vector<std::string>& chunks);

} // namespace masticcourse::gateway
