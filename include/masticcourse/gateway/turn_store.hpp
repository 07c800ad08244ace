/// @file
/// Finished turns of programs: kept in the store, each under its own id, and remembered here. Any gateway can
/// put together the prompt of the next turn from its predecessor's id alone.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/program_spending.hpp"

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

/// A turn that was answered whole.
struct turn_record
{
    /// The turns before it, oldest first; the last one is its direct predecessor. A reader that knows none of
    /// them fetches all at once instead of one after the other.
    std::vector<request_id> ancestors;
    /// What the caller sent.
    std::string input;
    /// The data of its events, each with a line feed behind it.
    std::string output;
    /// Where the target that ran it lies; empty if that is not known.
    failure_domain_name domain;

    friend bool operator==(const turn_record&, const turn_record&) = default;
};

using turn_ptr = std::shared_ptr<const turn_record>;

/// @return the record in pieces that each fit a row
[[nodiscard]] std::vector<std::string> encode_turn(const turn_record& turn, std::size_t row_bytes);
/// @return nothing if the pieces are no whole record
[[nodiscard]] std::optional<turn_record> decode_turn(const std::vector<std::string>& chunks);

/// Records by id, the least recently used given up first.
class turn_cache
{
  public:
    explicit turn_cache(std::size_t capacity_bytes) : m_capacity(capacity_bytes) {}

    void put(const request_id& id, turn_ptr turn);
    /// @return null if it is not kept
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

    std::size_t m_capacity;
    std::size_t m_bytes = 0;
    /// Most recently used first.
    entry_list m_entries;
    std::unordered_map<request_id, entry_list::iterator> m_index;
};

enum class chain_outcome : std::uint8_t
{
    found,
    /// The store has no such turn.
    missing,
    /// The store could not be asked.
    unavailable,
};

/// What a turn goes on from.
struct turn_chain
{
    chain_outcome outcome = chain_outcome::unavailable;
    /// The ids of the turns, oldest first.
    std::vector<request_id> turns;
    /// Their inputs and outputs, in the order in which a target is to read them.
    std::string prompt;
    /// Where the target that ran the last of them lies; empty if that is not known.
    failure_domain_name domain;
};

using chain_callback = std::function<void(turn_chain)>;
/// Tells whether a turn is durable.
using save_callback = std::function<void(bool)>;

class turn_store
{
  public:
    /// @param row_bytes the most that one row of the store holds
    turn_store(row_store& store, commit_sink& commits, std::size_t cache_bytes, std::size_t row_bytes);

    /// Puts together the chain that ends with @a last. Calls back once, at once if all of it is remembered.
    void load_chain(const request_id& last, chain_callback on_chain);

    /// Makes a turn durable; tried until @a expires.
    void save(const request_id& id, turn_record turn, time_point expires, save_callback on_saved);

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
