#include "masticcourse/memory/process_memory.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

namespace masticcourse
{

namespace
{

/// Blocks of at least this size are mapped, and unmapped when they are freed.
constexpr int mapped_block_size = 128 * 1024;
/// Free memory at the end of the heap that is kept.
constexpr int kept_heap_size = 256 * 1024;
/// The part of the limit that stays free, as a divisor: for what is read between two looks at the resident
/// size, and for bytes that wait in sockets.
constexpr std::size_t margin_divisor = 8;

} // namespace

process_memory::process_memory() : m_file(open("/proc/self/statm", O_RDONLY | O_CLOEXEC)) {}

process_memory::~process_memory()
{
    if (m_file >= 0)
    {
        close(m_file);
    }
}

std::optional<std::size_t> process_memory::resident() const
{
    // The second of the numbers is the resident size, in pages.
    std::array<char, 128> text{};
    const auto size = m_file >= 0 ? pread(m_file, text.data(), text.size(), 0) : -1;
    if (size <= 0)
    {
        return std::nullopt;
    }
    const std::string_view line{text.data(), static_cast<std::size_t>(size)};
    const auto begin = std::min(line.find(' '), line.size() - 1) + 1;
    std::size_t pages = 0;
    const auto [end, ec] = std::from_chars(line.data() + begin, line.data() + line.size(), pages);
    if (ec != std::errc{} || pages == 0)
    {
        return std::nullopt;
    }
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

void set_up_allocator()
{
    mallopt(M_MMAP_THRESHOLD, mapped_block_size);
    mallopt(M_TRIM_THRESHOLD, kept_heap_size);
}

void trim_heap()
{
    malloc_trim(0);
}

std::size_t unaccounted_memory(const memory_state& state)
{
    const auto known = state.base + state.held;
    return state.resident > known ? state.resident - known : 0;
}

std::size_t account_capacity(const memory_state& state)
{
    const auto usable = state.limit - state.limit / margin_divisor;
    const auto taken = state.base + unaccounted_memory(state);
    return usable > taken ? usable - taken : 0;
}

} // namespace masticcourse
