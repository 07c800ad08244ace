#include "masticcourse/model/call.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cctype>

namespace masticcourse
{

namespace
{

constexpr char field_separator = '\x1f';

bool is_space(char c)
{
    return std::isspace(static_cast<unsigned char>(c)) != 0;
}

} // namespace

token_count worst_case_cost(const call_request& request, token_count history_tokens)
{
    if (request.kind == call_kind::tool)
    {
        return 0;
    }
    return history_tokens + estimate_tokens(request.input) + request.max_tokens;
}

token_count estimate_tokens(const std::string& text)
{
    token_count words = 0;
    bool in_word = false;
    for (const char c : text)
    {
        const bool space = is_space(c);
        words += (!space && !in_word) ? 1 : 0;
        in_word = !space;
    }
    return words;
}

std::uint64_t digest_of(const call_request& request)
{
    std::string text = request.service.value;
    text += field_separator;
    text += std::to_string(static_cast<int>(request.kind));
    text += field_separator;
    text += request.idempotent ? '1' : '0';
    text += field_separator;
    text += std::to_string(request.max_tokens);
    text += field_separator;
    text += request.input;
    return XXH64(text.data(), text.size(), 0);
}

} // namespace masticcourse
