#include "masticcourse/model/names.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

namespace masticcourse
{

namespace
{

constexpr std::array<std::string_view, 2> kind_names{"model", "tool"};
constexpr std::array<std::string_view, 3> class_names{"assistance", "standard", "background"};

template <typename Enum>
std::optional<Enum> parse_name(std::span<const std::string_view> names, std::string_view text)
{
    const auto it = std::ranges::find(names, text);
    if (it == names.end())
    {
        return std::nullopt;
    }
    return static_cast<Enum>(it - names.begin());
}

} // namespace

std::span<const std::string_view> call_kind_names()
{
    return kind_names;
}

std::span<const std::string_view> service_class_names()
{
    return class_names;
}

std::string_view to_string(call_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(service_class priority)
{
    return class_names.at(static_cast<std::size_t>(priority));
}

std::optional<call_kind> parse_call_kind(std::string_view text)
{
    return parse_name<call_kind>(kind_names, text);
}

std::optional<service_class> parse_service_class(std::string_view text)
{
    return parse_name<service_class>(class_names, text);
}

} // namespace masticcourse
