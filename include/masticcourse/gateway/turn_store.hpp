/// @file
/// Stores completed turns of programs under their ids and caches them locally. Any gateway can build the
/// prompt of the next turn from the id of its predecessor alone.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/finished_turns.hpp"

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

/// A turn whose response is complete.
struct turn_record
{
    /// The preceding turns, oldest first; the last one is the direct predecessor. With the whole list, a
    /// reader that has cached none of them can fetch them concurrently instead of one after the other.
    std::vector<request_id> ancestors;
    /// Input sent by the caller.
    std::string input;
    /// Data of the turn's events, each followed by a line feed.
    std::string output;
    /// Failure domain of the target that ran the turn; empty if unknown.
    failure_domain_name domain;
    /// Tokens that the turn generated; empty in records of gateways of earlier versions.
    std::optional<token_count> tokens;

    friend bool operator==(const turn_record&, const turn_record&) = default;
};

using turn_ptr = std::shared_ptr<const turn_record>;

/// @return the encoded record, split into chunks that each fit into a row
[[nodiscard]] std::vector<std::string> encode_turn(const turn_record& turn, std::size_t row_bytes);
/// @return nothing if the chunks do not form a complete record
[[nodiscard]] std::optional<turn_record> decode_turn(const std::vector<std::string>& chunks);

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

enum class chain_outcome : std::uint8_t
{
    found,
    /// The store does not have the turn.
    missing,
    /// The store could not be queried, or the record could not be decoded.
    unavailable,
};

/// The preceding turns that a new turn continues.
struct turn_chain
{
    chain_outcome outcome = chain_outcome::unavailable;
    /// Ids of the turns, oldest first.
    std::vector<request_id> turns;
    /// Inputs and outputs of the turns, in the order in which the target reads them.
    std::string prompt;
    /// Failure domain of the target that ran the last turn; empty if unknown.
    failure_domain_name domain;
};

using chain_callback = std::function<void(turn_chain)>;
/// Receives whether the turn was stored durably.
using save_callback = std::function<void(bool)>;

class turn_store final : public finished_turns
{
  public:
    /// @param row_bytes maximum size of a store row
    turn_store(row_store& store, commit_sink& commits, std::size_t cache_bytes, std::size_t row_bytes);

    /// Loads the chain of turns that ends with @a last. Calls @a on_chain once, synchronously if all of its
    /// turns are cached.
    void load_chain(const request_id& last, chain_callback on_chain);

    void find_end(const request_id& turn, turn_end_callback on_end) override;

    /// Stores a turn durably; retries until @a expires.
    void save(const request_id& id, turn_record turn, time_point expires, save_callback on_saved);

    /// The local cache of turns.
    [[nodiscard]] turn_cache& cache()
    {
        return m_cache;
    }

  private:
    struct chain_load;

    void fetch(const request_id& id, std::function<void(chain_outcome, turn_ptr)> on_turn);
    void load_ancestors(const std::shared_ptr<chain_load>& load, const turn_ptr& last);
    static void finish(const std::shared_ptr<chain_load>& load);

    row_store& m_store;
    commit_sink& m_commits;
    std::size_t m_row_bytes;
    turn_cache m_cache;
};

} // namespace masticcourse::gateway
