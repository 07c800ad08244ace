/// @file
/// The account of the memory that a process holds for others: what is being received, waits, is passed on or
/// is kept for callers, targets and peers.
///
/// Load pattern: any number of callers send, and any number of parties read or respond slowly, at once. Each
/// use of memory is reserved before the bytes are read, and released wherever their owner is destroyed.
/// Every use has a share of the capacity that all uses together may fill; what others can wait for or do
/// without has a smaller one. So long bodies never take the room that short requests need, and what runs is
/// never given up for what is new.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string_view>
#include <utility>

namespace masticcourse
{

/// What memory is held for.
enum class memory_use : std::uint8_t
{
    /// Open connections of callers and peers.
    connections,
    /// Requests that have arrived in part and wait for their callers to send the rest.
    incoming,
    /// Requests that have arrived, and what forwarding them takes.
    requests,
    /// Long bodies on their way from a caller to a target.
    uploads,
    /// Long bodies that are needed whole before anything can be done with them.
    whole_bodies,
    /// Parts of long bodies that are kept so that the request can be sent again.
    repeats,
    /// Responses that are being received, or wait until their caller reads them.
    responses,
    /// Responses that are read ahead of their caller.
    read_ahead,
    /// Stored turns: prompts under way to a target, and outputs until they are stored.
    turns,
    /// Entries of caches, which can be evicted.
    caches,
};

constexpr std::size_t memory_use_count = 10;

[[nodiscard]] std::string_view to_string(memory_use use);

/// Thread-safe; takes no lock.
class memory_account
{
  public:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    /// @param capacity bytes that all uses together may hold
    explicit memory_account(std::size_t capacity = unlimited) : m_capacity(capacity) {}

    /// Changes the capacity. What is held already stays reserved.
    void set_capacity(std::size_t capacity)
    {
        m_capacity.store(capacity, std::memory_order_relaxed);
    }

    [[nodiscard]] std::size_t capacity() const
    {
        return m_capacity.load(std::memory_order_relaxed);
    }

    /// @return the bytes held for all uses together
    [[nodiscard]] std::size_t held() const
    {
        return m_total.load(std::memory_order_relaxed);
    }

    [[nodiscard]] std::size_t held(memory_use use) const;

    /// @return the bytes that all uses together may hold when memory is reserved for @a use
    [[nodiscard]] std::size_t limit_of(memory_use use) const;

    /// @return whether @a size more bytes could be reserved for @a use
    [[nodiscard]] bool has_room(memory_use use, std::size_t size) const;

  private:
    friend class memory_lease;

    [[nodiscard]] bool reserve(memory_use use, std::size_t size);
    void charge(memory_use use, std::size_t size);
    void release(memory_use use, std::size_t size);

    std::atomic<std::size_t> m_capacity;
    std::atomic<std::size_t> m_total = 0;
    std::array<std::atomic<std::size_t>, memory_use_count> m_by_use{};
};

using memory_account_ptr = std::shared_ptr<memory_account>;

/// A part of an account, held for one use and released on destruction. Without an account it reserves
/// anything. Not thread-safe.
class memory_lease
{
  public:
    memory_lease() = default;
    memory_lease(memory_account_ptr account, memory_use use) : m_account(std::move(account)), m_use(use) {}
    memory_lease(const memory_lease&) = delete;
    memory_lease& operator=(const memory_lease&) = delete;
    memory_lease(memory_lease&& other) noexcept;
    memory_lease& operator=(memory_lease&& other) noexcept;
    ~memory_lease()
    {
        reset();
    }

    /// Adds @a size bytes to the lease.
    /// @return false if there is no room for them; the lease stays as it is then
    [[nodiscard]] bool reserve(std::size_t size);

    /// Adds @a size bytes that are held already, whether or not there is room.
    void charge(std::size_t size);

    /// Returns @a size bytes to the account, or all if the lease holds less.
    void release(std::size_t size);

    /// Sets the size of the lease, whether or not there is room.
    void set(std::size_t size);

    /// Returns all bytes to the account.
    void reset()
    {
        release(m_size);
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_size;
    }

  private:
    memory_account_ptr m_account;
    memory_use m_use = memory_use::requests;
    std::size_t m_size = 0;
};

} // namespace masticcourse
