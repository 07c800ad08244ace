/// @file
/// Guards the parser of CBOR, which calls itself for each level, against input that exhausts the stack.
#pragma once

#include <string_view>

namespace masticcourse::codec
{

/// @return whether the parser can read @a bytes, valid or not, without deep recursion. Never throws.
[[nodiscard]] bool has_bounded_nesting(std::string_view bytes);

} // namespace masticcourse::codec
