#include "masticcourse/gateway/request_fingerprint.hpp"

#include "masticcourse/gateway/gateway_request.hpp"
#include "masticcourse/gateway/route_table.hpp"

#include <array>
#include <charconv>
#include <cstring>

namespace masticcourse::gateway
{

namespace
{

constexpr std::size_t hash_size = sizeof(request_fingerprint);
constexpr std::size_t digits_per_half = 16;
constexpr int hexadecimal = 16;

/// A hash over a sequence of fields. Their lengths are hashed as well, so that no two sequences of fields run
/// together into the same text.
class field_hash
{
  public:
    field_hash()
    {
        crypto_generichash_init(&m_state, nullptr, 0, hash_size);
    }

    void add(std::string_view field)
    {
        const std::uint64_t size = field.size();
        std::array<unsigned char, sizeof(size)> size_bytes{};
        std::memcpy(size_bytes.data(), &size, sizeof(size));
        crypto_generichash_update(&m_state, size_bytes.data(), size_bytes.size());
        const void* const bytes = field.data();
        crypto_generichash_update(&m_state, static_cast<const unsigned char*>(bytes), field.size());
    }

    [[nodiscard]] request_fingerprint finish()
    {
        std::array<unsigned char, hash_size> bytes{};
        crypto_generichash_final(&m_state, bytes.data(), bytes.size());
        request_fingerprint result;
        std::memcpy(&result.high, bytes.data(), sizeof(result.high));
        std::memcpy(&result.low, bytes.data() + sizeof(result.high), sizeof(result.low));
        return result;
    }

  private:
    crypto_generichash_state m_state{};
};

std::string to_hex(std::uint64_t value)
{
    std::array<char, digits_per_half> digits{};
    const auto [end, ec] = std::to_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
    const std::string text{digits.data(), end};
    return std::string(digits_per_half - text.size(), '0') + text;
}

std::optional<std::uint64_t> parse_hex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, value, hexadecimal);
    return ec == std::errc{} && stop == end ? std::optional{value} : std::nullopt;
}

} // namespace

body_hash::body_hash()
{
    crypto_generichash_init(&m_state, nullptr, 0, crypto_generichash_BYTES);
}

void body_hash::add(std::string_view part)
{
    const void* const bytes = part.data();
    crypto_generichash_update(&m_state, static_cast<const unsigned char*>(bytes), part.size());
}

std::string body_hash::finish()
{
    std::array<unsigned char, crypto_generichash_BYTES> bytes{};
    crypto_generichash_final(&m_state, bytes.data(), bytes.size());
    return {bytes.begin(), bytes.end()};
}

request_fingerprint fingerprint_of(const gateway_request& request, const route& route)
{
    field_hash hash;
    hash.add(request.workspace.value);
    hash.add(route.name);
    hash.add(request.method);
    hash.add(request.target);
    hash.add(request.body_digest ? *request.body_digest : request.body);
    if (route.kind == request_kind::stream && request.program)
    {
        hash.add(request.program->program.value);
        hash.add(request.program->previous_turn ? request.program->previous_turn->value : std::string{});
    }
    return hash.finish();
}

std::string to_string(const request_fingerprint& fingerprint)
{
    return to_hex(fingerprint.high) + to_hex(fingerprint.low);
}

std::optional<request_fingerprint> parse_fingerprint(std::string_view text)
{
    if (text.size() != 2 * digits_per_half)
    {
        return std::nullopt;
    }
    const auto high = parse_hex(text.substr(0, digits_per_half));
    const auto low = parse_hex(text.substr(digits_per_half));
    return high && low ? std::optional{request_fingerprint{*high, *low}} : std::nullopt;
}

} // namespace masticcourse::gateway
