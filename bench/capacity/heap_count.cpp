#include "heap_count.hpp"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace
{

std::int64_t held = 0;
/// What the allocator keeps beside each block.
constexpr std::int64_t block_header = 8;

std::int64_t size_of(void* block)
{
    return static_cast<std::int64_t>(malloc_usable_size(block)) + block_header;
}

} // namespace

// The global allocation functions themselves: nothing below them could own the block.
// NOLINTBEGIN(cppcoreguidelines-no-malloc)
void* operator new(std::size_t size)
{
    void* const block = std::malloc(size);
    if (block == nullptr)
    {
        throw std::bad_alloc{};
    }
    held += size_of(block);
    return block;
}

void operator delete(void* block) noexcept
{
    if (block != nullptr)
    {
        held -= size_of(block);
        std::free(block);
    }
}

// NOLINTEND(cppcoreguidelines-no-malloc)

void operator delete(void* block, std::size_t) noexcept
{
    operator delete(block);
}

namespace masticcourse::capacity
{

std::int64_t heap_bytes()
{
    return held;
}

} // namespace masticcourse::capacity
