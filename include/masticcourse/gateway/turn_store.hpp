/// @file
/// Stores completed turns of programs under their ids and caches them locally. Any gateway can build the
/// prompt of the next turn from the id of its predecessor alone.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/finished_turns.hpp"
#include "masticcourse/gateway/turn_reader.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

/// Turns in a chain that a further one may continue. Each record names all that come before it, so that what
/// a turn costs grows with their number.
inline constexpr std::size_t max_history_turns = 1'024;

/// The preceding turns that a new turn continues.
struct turn_chain
{
    turn_outcome outcome = turn_outcome::unavailable;
    /// Ids of the turns, oldest first.
    std::vector<request_id> turns;
    /// Inputs and outputs of the turns, in the order in which the target reads them.
    std::string prompt;
    /// Holds the room for the prompt, and for the copy of it that is sent.
    memory_lease memory;
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
    /// @param memory    where histories are reserved before they are read; null without a limit
    turn_store(row_store& store, commit_sink& commits, std::size_t cache_bytes, std::size_t row_bytes,
               memory_account_ptr memory = nullptr);

    /// Loads the chain of turns that ends with @a last. Calls @a on_chain once, synchronously if all of its
    /// turns are cached.
    void load_chain(const request_id& last, chain_callback on_chain);

    void find_end(const request_id& turn, turn_end_callback on_end) override;

    /// Stores a turn durably; retries until @a expires. A turn that is too large for one transaction of the
    /// store is written in several, its first row last: until then it does not exist.
    void save(const request_id& id, turn_record turn, time_point expires, save_callback on_saved);

    /// The local cache of turns.
    [[nodiscard]] turn_cache& cache()
    {
        return m_reader.cache();
    }

  private:
    struct chain_load;
    using chain_load_ptr = std::shared_ptr<chain_load>;

    struct saving;
    using saving_ptr = std::shared_ptr<saving>;

    void write(const saving_ptr& turn, row_change change);
    void write_first(const saving_ptr& turn);
    /// Writes the first row once all others are durable, then reports the end.
    void on_written(const saving_ptr& turn, const change_result& result);
    /// Asks for turns of the chain, a few at a time, until all have come or one can't.
    void load_turns(const chain_load_ptr& load);
    static void finish(chain_load& load);

    memory_account_ptr m_memory;
    turn_reader m_reader;
    commit_sink& m_commits;
    std::size_t m_row_bytes;
};

} // namespace masticcourse::gateway
