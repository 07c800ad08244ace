/// @file
/// The row that names the holder of each bucket, and its encoding in the store.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

/// One run of a gateway process.
struct gateway_incarnation
{
    /// Address for peers; the same for all incarnations on one VM.
    std::string address;
    /// Unique for each start of the process.
    std::string incarnation;

    friend bool operator==(const gateway_incarnation&, const gateway_incarnation&) = default;
};

/// The holder of each bucket; empty for a free bucket.
using bucket_table = std::vector<std::optional<gateway_incarnation>>;

struct ownership_row
{
    bucket_table buckets;
    /// Number of lease renewals by incarnation.
    std::map<std::string, std::uint64_t> renewals;
    /// By address, the incarnation that is going to inherit the buckets of the earlier ones there.
    std::map<std::string, std::string> claims;

    friend bool operator==(const ownership_row&, const ownership_row&) = default;
};

[[nodiscard]] std::string encode_ownership(const ownership_row& row);
/// @return empty if @a text is not a valid ownership row with @a buckets buckets
[[nodiscard]] std::optional<ownership_row> decode_ownership(const std::string& text, std::size_t buckets);

} // namespace masticcourse::gateway
