/// @file
/// Serializes structs as CBOR arrays of their members; one description serves encoding and decoding.
///
/// A struct is made serializable by a function `members(T&)` in its namespace (found by argument-dependent
/// lookup) that ties its members in wire order. New members are appended: a reader leaves members that are
/// missing from the input at their defaults.
#pragma once

#include "masticcourse/core/ids.hpp"

#include <boost/pfr/tuple_size.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace masticcourse::codec
{

using json = nlohmann::json;

/// Satisfied by `U` and `const U`, so that one `members` function serves both writer and reader.
template <typename T, typename U>
concept maybe_const = std::same_as<std::remove_const_t<T>, U>;

template <typename T>
concept has_members = requires(T& it) { members(it); };

/// The largest valid value of an enumeration; specialized for each serialized enumeration.
template <typename Enum>
inline constexpr unsigned max_enum_value = 0;

/// The wire names of a variant's alternatives, by index; specialized for each serialized variant.
template <typename Variant>
inline constexpr std::array<std::string_view, 0> alternative_names{};

/// @return @a value encoded as CBOR
[[nodiscard]] std::string to_cbor(const json& value);

/// @return the decoded value, or nothing if @a bytes is not exactly one valid CBOR item. Never throws.
[[nodiscard]] std::optional<json> from_cbor(std::string_view bytes);

/// Converts a value to JSON: structs, vectors and variants become arrays.
class writer
{
  public:
    template <std::integral T>
    json operator()(T it) const
    {
        return it;
    }

    json operator()(double it) const
    {
        return it;
    }

    json operator()(const std::string& it) const
    {
        return it;
    }

    template <typename Tag>
    json operator()(const strong_string<Tag>& it) const
    {
        return it.value;
    }

    template <typename Enum>
        requires std::is_enum_v<Enum>
    json operator()(Enum it) const
    {
        return static_cast<std::uint64_t>(it);
    }

    template <typename Rep, typename Period>
    json operator()(std::chrono::duration<Rep, Period> it) const
    {
        return it.count();
    }

    template <typename T>
    json operator()(const std::optional<T>& it) const
    {
        return it ? (*this)(*it) : json();
    }

    template <typename T>
    json operator()(const std::vector<T>& items) const
    {
        json result = json::array();
        for (const T& it : items)
        {
            result.push_back((*this)(it));
        }
        return result;
    }

    /// A variant is written as an array: the name of its alternative, followed by the members.
    template <typename... Ts>
    json operator()(const std::variant<Ts...>& value) const
    {
        json result = json::array({std::string(alternative_names<std::variant<Ts...>>.at(value.index()))});
        std::visit([&](const auto& it) { append_members(result, it); }, value);
        return result;
    }

    template <has_members T>
    json operator()(const T& it) const
    {
        json result = json::array();
        append_members(result, it);
        return result;
    }

    template <has_members T>
    void append_members(json& array, const T& it) const
    {
        static_assert(boost::pfr::tuple_size_v<T> == std::tuple_size_v<decltype(members(it))>,
                      "members() must list every member of the struct");
        std::apply([&](const auto&... member) { (array.push_back((*this)(member)), ...); }, members(it));
    }
};

/// Reads values from JSON. After the first type or range mismatch, ok() stays false.
class reader
{
  public:
    [[nodiscard]] bool ok() const
    {
        return m_ok;
    }

    void operator()(const json& from, bool& to)
    {
        check(from.is_boolean()) && assign(to, from.get<bool>());
    }

    template <std::unsigned_integral T>
    void operator()(const json& from, T& to)
    {
        if (check(from.is_number_unsigned()))
        {
            const auto value = from.get<std::uint64_t>();
            check(std::in_range<T>(value)) && assign(to, static_cast<T>(value));
        }
    }

    template <std::signed_integral T>
    void operator()(const json& from, T& to)
    {
        if (check(from.is_number_integer() && fits_int64(from)))
        {
            const auto value = from.get<std::int64_t>();
            check(std::in_range<T>(value)) && assign(to, static_cast<T>(value));
        }
    }

    void operator()(const json& from, double& to)
    {
        check(from.is_number()) && assign(to, from.get<double>());
    }

    void operator()(const json& from, std::string& to)
    {
        check(from.is_string()) && assign(to, from.get_ref<const std::string&>());
    }

    template <typename Tag>
    void operator()(const json& from, strong_string<Tag>& to)
    {
        (*this)(from, to.value);
    }

    template <typename Enum>
        requires std::is_enum_v<Enum>
    void operator()(const json& from, Enum& to)
    {
        std::underlying_type_t<Enum> value = 0;
        (*this)(from, value);
        check(value <= max_enum_value<Enum>) && assign(to, static_cast<Enum>(value));
    }

    template <typename Rep, typename Period>
    void operator()(const json& from, std::chrono::duration<Rep, Period>& to)
    {
        Rep count{};
        (*this)(from, count);
        to = std::chrono::duration<Rep, Period>{count};
    }

    template <typename T>
    void operator()(const json& from, std::optional<T>& to)
    {
        to.reset();
        if (!from.is_null())
        {
            (*this)(from, to.emplace());
        }
    }

    template <typename T>
    void operator()(const json& from, std::vector<T>& to)
    {
        to.clear();
        if (!check(from.is_array()))
        {
            return;
        }
        to.reserve(from.size());
        for (const json& it : from)
        {
            (*this)(it, to.emplace_back());
        }
    }

    template <typename... Ts>
    void operator()(const json& from, std::variant<Ts...>& to)
    {
        if (!check(from.is_array() && !from.empty() && from[0].is_string()))
        {
            return;
        }
        const auto& names = alternative_names<std::variant<Ts...>>;
        const auto it = std::ranges::find(names, std::string_view(from[0].get_ref<const std::string&>()));
        const auto alternative = static_cast<std::size_t>(it - names.begin());
        const auto read = [&]<std::size_t... I>(std::index_sequence<I...>)
        { return (read_alternative<I>(from, alternative, to) || ...); };
        check(read(std::index_sequence_for<Ts...>{}));
    }

    template <has_members T>
    void operator()(const json& from, T& to)
    {
        read_members(from, 0, to);
    }

    /// Reads the members of a struct from the elements of an array, starting at index @a first.
    template <has_members T>
    void read_members(const json& array, std::size_t first, T& to)
    {
        if (!check(array.is_array()))
        {
            return;
        }
        std::size_t index = first;
        const auto next = [&](auto& member)
        {
            if (index < array.size())
            {
                (*this)(array[index], member);
            }
            ++index;
        };
        std::apply([&](auto&... member) { (next(member), ...); }, members(to));
    }

    bool check(bool condition)
    {
        m_ok = m_ok && condition;
        return m_ok;
    }

  private:
    template <std::size_t I, typename Variant>
    bool read_alternative(const json& from, std::size_t alternative, Variant& to)
    {
        if (I == alternative)
        {
            read_members(from, 1, to.template emplace<I>());
        }
        return I == alternative;
    }

    template <typename T>
    static bool assign(T& to, const T& value)
    {
        to = value;
        return true;
    }

    static bool fits_int64(const json& from)
    {
        return !from.is_number_unsigned() || std::in_range<std::int64_t>(from.get<std::uint64_t>());
    }

    bool m_ok = true;
};

} // namespace masticcourse::codec
