/// @file
/// Returns the memory of a container at once. An assignment of an empty one may keep it.
#pragma once

namespace masticcourse
{

/// Empties @a container and frees what it had allocated.
template <typename Container>
void free_storage(Container& container)
{
    Container{}.swap(container);
}

} // namespace masticcourse
