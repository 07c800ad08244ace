/// @file
/// Guards the parser of CBOR, which calls itself for each level and takes many bytes for each item, against
/// input that exhausts the stack or the memory.
#pragma once

#include <string_view>

namespace masticcourse::codec
{

/// @return whether the parser can read @a bytes, valid or not, without deep recursion. Never throws.
[[nodiscard]] bool has_bounded_nesting(std::string_view bytes);

/// @return whether the parser can read @a bytes, valid or not, without deep recursion and without more items
/// than any message between processes has. Never throws.
[[nodiscard]] bool is_bounded_message(std::string_view bytes);

} // namespace masticcourse::codec
