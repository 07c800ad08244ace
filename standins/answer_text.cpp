#include "answer_text.hpp"

#include <xxhash.h>

#include <array>
#include <numeric>
#include <string_view>

namespace masticcourse::standins
{

namespace
{

constexpr std::array<std::string_view, 32> syllables{
    "ba", "ko", "mi", "tu", "ra", "le", "no", "si", "da", "po", "ve", "lu", "ga", "hi", "fe", "zo",
    "ma", "ti", "ru", "ne", "la", "so", "di", "pu", "va", "lo", "ge", "ha", "fi", "zu", "ke", "jo"};
constexpr std::size_t syllables_per_word = 4;

} // namespace

prefix_key extend_prefix_key(prefix_key parent, const std::string& segment)
{
    return XXH64(segment.data(), segment.size(), parent);
}

prefix_key compute_prefix_key(std::span<const std::string> prompt)
{
    return std::accumulate(prompt.begin(), prompt.end(), empty_prefix, extend_prefix_key);
}

std::string completion_word(prefix_key prompt, std::uint64_t index)
{
    std::uint64_t hash = XXH64(&index, sizeof index, prompt);
    std::string word = index == 0 ? "" : " ";
    for (std::size_t n = 0; n < syllables_per_word; ++n)
    {
        word += syllables.at(hash % syllables.size());
        hash /= syllables.size();
    }
    return word;
}

std::string completion_text(std::span<const std::string> prompt, token_count words)
{
    const prefix_key key = compute_prefix_key(prompt);
    std::string text;
    for (token_count n = 0; n < words; ++n)
    {
        text += completion_word(key, static_cast<std::uint64_t>(n));
    }
    return text;
}

} // namespace masticcourse::standins
