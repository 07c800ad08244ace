/// @file
/// Reads turns by their ids: from the local cache, else from the store.
#pragma once

#include "masticcourse/gateway/row_store.hpp"
#include "masticcourse/gateway/turn_cache.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
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
};

/// Receives the turn; null unless it was found.
using turn_callback = std::function<void(turn_outcome, turn_ptr)>;

class turn_reader
{
  public:
    turn_reader(row_store& store, std::size_t cache_bytes) : m_store(store), m_cache(cache_bytes) {}

    /// Calls @a on_turn once, synchronously if the turn is cached.
    void read(const request_id& id, turn_callback on_turn);

    [[nodiscard]] turn_cache& cache()
    {
        return m_cache;
    }

  private:
    struct reading;
    using reading_ptr = std::shared_ptr<reading>;

    /// Reads the row that follows those read so far. Each is asked for by its whole key: a range of keys
    /// could hold the rows of any number of other turns.
    void read_chunk(const reading_ptr& turn);
    void on_chunk(const reading_ptr& turn, const query_reply& reply);
    void finish(const reading_ptr& turn, turn_outcome outcome);

    row_store& m_store;
    turn_cache m_cache;
};

} // namespace masticcourse::gateway
