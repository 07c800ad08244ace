/// @file
/// The memory of the whole process, as the platform judges it: its resident size. The account of what is held
/// for others can't know what the allocator keeps or what tables take, so its capacity follows from both.
#pragma once

#include <cstddef>
#include <optional>

namespace masticcourse
{

/// Reads the resident size of this process. Not thread-safe.
class process_memory
{
  public:
    process_memory();
    process_memory(const process_memory&) = delete;
    process_memory(process_memory&&) = delete;
    process_memory& operator=(const process_memory&) = delete;
    process_memory& operator=(process_memory&&) = delete;
    ~process_memory();

    /// @return the resident size in bytes; nothing if the system does not tell
    [[nodiscard]] std::optional<std::size_t> resident() const;

  private:
    int m_file = -1;
};

/// Makes the allocator return large blocks to the system as soon as they are freed. Without this, the heap
/// grows by blocks that were large once, and the process stays as large as it ever was.
void set_up_allocator();

/// Returns the free parts of the heap to the system.
void trim_heap();

/// What the capacity of an account follows from; sizes in bytes.
struct memory_state
{
    /// The process is killed if it exceeds this.
    std::size_t limit = 0;
    /// Resident size before anything was held for others.
    std::size_t base = 0;
    std::size_t resident = 0;
    /// What the account holds.
    std::size_t held = 0;
};

/// @return the memory, in bytes, that is in use beside the base and the account
[[nodiscard]] std::size_t unaccounted_memory(const memory_state& state);

/// @return the capacity of the account, in bytes: the limit less a margin, the base, and what is unaccounted
[[nodiscard]] std::size_t account_capacity(const memory_state& state);

} // namespace masticcourse
