// Journal entries as bytes: magic (4), format version (4), length of the body (8), xxh64 of all that and of
// the body (8), then the body as CBOR. Numbers are big-endian.
#include "journal_members.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <limits>

namespace masticcourse
{

namespace
{

constexpr std::string_view magic = "mcjE";
constexpr std::uint32_t format_version = 1;
constexpr std::size_t version_at = 4;
constexpr std::size_t length_at = 8;
constexpr std::size_t checksum_at = 16;
constexpr std::size_t body_at = 24;
constexpr unsigned bits_per_byte = 8;

template <typename T>
void put_number(std::string& out, T value)
{
    for (unsigned shift = std::numeric_limits<T>::digits; shift > 0; shift -= bits_per_byte)
    {
        out.push_back(static_cast<char>(value >> (shift - bits_per_byte)));
    }
}

template <typename T>
T get_number(std::string_view bytes, std::size_t at)
{
    T result = 0;
    for (const char c : bytes.substr(at, sizeof(T)))
    {
        result = static_cast<T>((result << bits_per_byte) | static_cast<unsigned char>(c));
    }
    return result;
}

/// Covers header and body, so that no flipped bit of the header passes either.
std::uint64_t checksum_of(std::string_view header, std::string_view body)
{
    return XXH64(body.data(), body.size(), XXH64(header.data(), header.size(), 0));
}

constexpr std::size_t entry_members = 5;

journal_damage damage_of(std::string_view bytes)
{
    if (bytes.size() < body_at)
    {
        return journal_damage::truncated;
    }
    if (!bytes.starts_with(magic))
    {
        return journal_damage::wrong_magic;
    }
    if (get_number<std::uint32_t>(bytes, version_at) != format_version)
    {
        return journal_damage::unknown_version;
    }
    const auto body = bytes.substr(body_at);
    if (get_number<std::uint64_t>(bytes, length_at) != body.size())
    {
        return journal_damage::truncated;
    }
    const bool whole =
        get_number<std::uint64_t>(bytes, checksum_at) == checksum_of(bytes.substr(0, checksum_at), body);
    return whole ? journal_damage::none : journal_damage::wrong_checksum;
}

} // namespace

std::string journal_key(const incarnation_id& journal, std::uint64_t index)
{
    constexpr std::size_t index_digits = 20;
    const std::string digits = std::to_string(index);
    return "journal/" + journal.value + "/" + std::string(index_digits - digits.size(), '0') + digits;
}

std::string encode(const journal_entry& entry)
{
    const std::string body = codec::to_cbor(codec::writer{}(entry));
    std::string result(magic);
    put_number(result, format_version);
    put_number(result, static_cast<std::uint64_t>(body.size()));
    put_number(result, checksum_of(result, body));
    return result + body;
}

decoded_entry decode_entry(const std::string& bytes)
{
    decoded_entry result{.damage = damage_of(bytes)};
    if (result.damage != journal_damage::none)
    {
        return result;
    }
    const auto body = codec::from_cbor(std::string_view(bytes).substr(body_at));
    codec::reader in;
    if (!body || !in.check(body->is_array() && body->size() == entry_members))
    {
        return {.damage = journal_damage::malformed};
    }
    in(*body, result.entry);
    if (!in.ok())
    {
        result = {.damage = journal_damage::malformed};
    }
    return result;
}

} // namespace masticcourse
