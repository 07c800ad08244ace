/// @file
/// Invariant checks that are enabled in all builds, not only in tests. Conditions must be cheap to evaluate.
#pragma once

#include <cstdint>
#include <source_location>
#include <string_view>

namespace masticcourse
{

/// Called for each violated invariant. The default handler logs and aborts; a soak test may install one that
/// only counts violations.
using invariant_handler = void (*)(std::string_view message, const std::source_location& where);

/// Replaces the handler. Thread-safe.
/// @param handler the new handler; null restores the default
/// @return the previous handler
invariant_handler set_invariant_handler(invariant_handler handler);

/// @return the number of violations in this process
[[nodiscard]] std::uint64_t invariant_violations();

namespace detail
{

/// Counts a violation and calls the handler.
void invariant_violated(std::string_view message, const std::source_location& where);

} // namespace detail

} // namespace masticcourse

/// Checks that @a cond holds; @a message describes the violation.
#define MASTICCOURSE_INVARIANT(cond, message)                                                                \
    do                                                                                                       \
    {                                                                                                        \
        if (!(cond)) [[unlikely]]                                                                            \
        {                                                                                                    \
            ::masticcourse::detail::invariant_violated(message, std::source_location::current());            \
        }                                                                                                    \
    } while (false)
