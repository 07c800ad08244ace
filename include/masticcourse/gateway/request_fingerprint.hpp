/// @file
/// Identifies the content of a request across the attempts of its caller, each of which has another id.
#pragma once

#include "masticcourse/core/ids.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <sodium/crypto_generichash.h>

namespace masticcourse::gateway
{

struct gateway_request;
struct route;

/// 128 bits of a BLAKE2b hash. Gateways compare fingerprints of each other, so the hash has no secret key;
/// being collision resistant, it can't be forged by a caller who wants to match the work of others.
struct request_fingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const request_fingerprint&, const request_fingerprint&) = default;
};

struct request_fingerprint_hash
{
    [[nodiscard]] std::size_t operator()(const request_fingerprint& it) const noexcept
    {
        return it.low;
    }
};

/// Digest of a body that is not held whole, over its parts in order.
class body_hash
{
  public:
    body_hash();

    void add(std::string_view part);

    /// @return the digest of all parts together, as bytes; nothing may be added after it
    [[nodiscard]] std::string finish();

  private:
    crypto_generichash_state m_state{};
};

/// @return the fingerprint of workspace, route, method, path and body; for a stream also of its program and
/// of the turn that it continues, since its body is only what is new. Ids, deadlines and budgets differ
/// between attempts and are left out.
[[nodiscard]] request_fingerprint fingerprint_of(const gateway_request& request, const route& route);

/// @return 32 hexadecimal digits
[[nodiscard]] std::string to_string(const request_fingerprint& fingerprint);

/// @return nothing unless @a text has the form that to_string() returns
[[nodiscard]] std::optional<request_fingerprint> parse_fingerprint(std::string_view text);

} // namespace masticcourse::gateway
