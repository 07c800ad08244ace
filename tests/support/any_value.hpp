/// @file
/// Random values of any type that has a wire form.
#pragma once

#include "../../src/codec/cbor.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace masticcourse::tests
{

/// Fills values at random; the same seed gives the same values.
class any_value
{
  public:
    explicit any_value(std::uint64_t seed) : m_random(seed) {}

    template <typename T>
    T make()
    {
        T result{};
        fill(result);
        return result;
    }

    template <std::integral T>
    void fill(T& to)
    {
        // Small and large numbers alike: their encodings differ.
        to = static_cast<T>(m_random() >> (m_random() % 64));
    }

    void fill(bool& to)
    {
        to = m_random() % 2 == 0;
    }

    void fill(double& to)
    {
        to = static_cast<double>(m_random() % 100000) / 7;
    }

    void fill(std::string& to)
    {
        to.assign(m_random() % 40, '\0');
        std::ranges::generate(to, [&] { return static_cast<char>(m_random()); });
    }

    template <typename Tag>
    void fill(strong_string<Tag>& to)
    {
        fill(to.value);
    }

    template <typename Enum>
        requires std::is_enum_v<Enum>
    void fill(Enum& to)
    {
        to = static_cast<Enum>(m_random() % (codec::max_enum_value<Enum> + 1));
    }

    template <typename Rep, typename Period>
    void fill(std::chrono::duration<Rep, Period>& to)
    {
        to = std::chrono::duration<Rep, Period>(static_cast<Rep>(m_random() % 1000000));
    }

    template <typename T>
    void fill(std::optional<T>& to)
    {
        if (make<bool>())
        {
            fill(to.emplace());
        }
    }

    template <typename T>
    void fill(std::vector<T>& to)
    {
        to.resize(m_random() % 4);
        std::ranges::for_each(to, [&](T& it) { fill(it); });
    }

    template <codec::has_members T>
    void fill(T& to)
    {
        std::apply([&](auto&... member) { (fill(member), ...); }, members(to));
    }

    template <typename... Ts>
    void fill(std::variant<Ts...>& to)
    {
        fill_alternative(to, number());
    }

    /// Fills a variant's alternative @a index (modulo their number).
    template <typename... Ts>
    void fill_alternative(std::variant<Ts...>& to, std::size_t index)
    {
        std::size_t at = 0;
        const auto choose = [&]<typename T>(const T* /*type*/)
        {
            if (at++ == index % sizeof...(Ts))
            {
                to = make<T>();
            }
        };
        (choose(static_cast<const Ts*>(nullptr)), ...);
    }

    std::uint64_t number()
    {
        return m_random();
    }

  private:
    std::mt19937_64 m_random;
};

} // namespace masticcourse::tests
