/// @file
/// Invariants that are checked in every run, not only in tests: cheap conditions that must always hold.
#pragma once

#include <cstdint>
#include <source_location>
#include <string_view>

namespace masticcourse
{

/// Takes a violated invariant. The default logs and aborts; a soak run may count and go on.
using invariant_handler = void (*)(std::string_view message, const std::source_location& where);

/// Replaces the handler. Thread-safe.
/// @param handler the new handler; null restores the default
/// @return the previous one
invariant_handler set_invariant_handler(invariant_handler handler);

/// @return how many violations this process has seen
[[nodiscard]] std::uint64_t invariant_violations();

namespace detail
{

/// Counts a violation and calls the handler.
void invariant_violated(std::string_view message, const std::source_location& where);

} // namespace detail

} // namespace masticcourse

/// Checks that @a cond holds; @a message says what would be wrong.
#define MASTICCOURSE_INVARIANT(cond, message)                                                                \
    do                                                                                                       \
    {                                                                                                        \
        if (!(cond)) [[unlikely]]                                                                            \
        {                                                                                                    \
            ::masticcourse::detail::invariant_violated(message, std::source_location::current());            \
        }                                                                                                    \
    } while (false)
