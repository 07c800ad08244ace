/// @file
/// Reads turns by their ids: from the local cache, else from the store.
///
/// Load pattern: any number of requests ask for long histories at once, after a start with an empty cache or
/// because their turns are more than the cache holds. Each turn is read once for all that wait for it, and a
/// bounded number at a time.
#pragma once

#include "masticcourse/gateway/row_store.hpp"
#include "masticcourse/gateway/turn_cache.hpp"
#include "masticcourse/memory/memory_account.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace masticcourse::gateway
{

enum class turn_outcome : std::uint8_t
{
    found,
    /// The store does not have the turn.
    missing,
    /// The store could not be queried, or the record could not be decoded.
    unavailable,
    /// There was no room for it.
    no_memory,
    /// Too many turns come before it.
    too_long,
};

/// Receives the turn; null unless it was found.
using turn_callback = std::function<void(turn_outcome, turn_ptr)>;

class turn_reader
{
  public:
    /// @param memory where turns of several rows are reserved while they are read; null without a limit
    turn_reader(row_store& store, std::size_t cache_bytes, memory_account_ptr memory)
        : m_store(store), m_memory(std::move(memory)), m_cache(cache_bytes)
    {
    }

    /// Calls @a on_turn once, synchronously if the turn is cached.
    void read(const request_id& id, turn_callback on_turn);

    [[nodiscard]] turn_cache& cache()
    {
        return m_cache;
    }

  private:
    struct reading;
    using reading_ptr = std::shared_ptr<reading>;

    void enqueue(const request_id& id, std::vector<turn_callback> asked);
    /// Begins to read turns that wait, as many as may be read at a time.
    void begin_waiting();
    /// Reads the row that follows those read so far. Each is asked for by its whole key: a range of keys
    /// could hold the rows of any number of other turns.
    void read_chunk(const reading_ptr& turn);
    void on_chunk(const reading_ptr& turn, const query_reply& reply);
    void finish(const reading_ptr& turn, turn_outcome outcome);

    row_store& m_store;
    memory_account_ptr m_memory;
    turn_cache m_cache;
    std::unordered_map<request_id, reading_ptr> m_readings;
    /// Those that have not begun.
    std::deque<reading_ptr> m_waiting;
    std::size_t m_in_progress = 0;
    /// Whether begin_waiting() is running; turns that are answered within the call end in it.
    bool m_beginning = false;
};

} // namespace masticcourse::gateway
