#include "text_format.hpp"

#include "masticcourse/settings/address.hpp"

#include <algorithm>
#include <cctype>

namespace masticcourse::detail
{

namespace
{

constexpr std::size_t max_name_length = 64;
constexpr std::size_t min_secret_length = 16;
constexpr std::size_t max_secret_length = 256;

bool is_name_character(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
}

bool is_visible(char c)
{
    return std::isgraph(static_cast<unsigned char>(c)) != 0;
}

bool is_name(const std::string& text)
{
    return !text.empty() && text.size() <= max_name_length && std::ranges::all_of(text, is_name_character);
}

bool is_secret(const std::string& text)
{
    return text.size() >= min_secret_length && text.size() <= max_secret_length &&
           std::ranges::all_of(text, is_visible);
}

} // namespace

std::optional<std::string> validate_text(text_format format, const std::string& text)
{
    switch (format)
    {
    case text_format::name:
        return is_name(text) ? std::nullopt
                             : std::optional<std::string>{"must be 1 to 64 letters, digits, '-', '_' or '.'"};
    case text_format::address:
        return parse_address(text)
                   ? std::nullopt
                   : std::optional<std::string>{"must be an IP address and port, such as 127.0.0.1:8080"};
    case text_format::secret:
        return is_secret(text) ? std::nullopt
                               : std::optional<std::string>{"must be 16 to 256 visible characters"};
    case text_format::path:
        return text.empty() ? std::optional<std::string>{"must not be empty"} : std::nullopt;
    }
    return std::nullopt;
}

} // namespace masticcourse::detail
