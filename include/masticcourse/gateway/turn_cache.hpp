/// @file
/// Turns that this gateway has served or read lately.
#pragma once

#include "masticcourse/gateway/turn_record.hpp"

#include <cstddef>
#include <list>
#include <unordered_map>

namespace masticcourse::gateway
{

/// LRU cache of turns by id.
class turn_cache
{
  public:
    explicit turn_cache(std::size_t capacity_bytes) : m_capacity(capacity_bytes) {}

    void put(const request_id& id, turn_ptr turn);
    /// Changes the capacity and evicts what is over it.
    void set_capacity(std::size_t bytes);
    /// @return null if the turn is not cached
    [[nodiscard]] turn_ptr get(const request_id& id);
    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }

  private:
    struct entry
    {
        request_id id;
        turn_ptr turn;
    };
    using entry_list = std::list<entry>;

    [[nodiscard]] static std::size_t size_of(const entry& it);
    void evict();

    std::size_t m_capacity;
    std::size_t m_bytes = 0;
    /// Most recently used first.
    entry_list m_entries;
    std::unordered_map<request_id, entry_list::iterator> m_index;
};

} // namespace masticcourse::gateway
