/// @file
/// The bytes that this process holds on its heap, counted at every allocation.
#pragma once

#include <cstdint>

namespace masticcourse::capacity
{

/// @return bytes held now, as the allocator rounds them
[[nodiscard]] std::int64_t heap_bytes();

} // namespace masticcourse::capacity
