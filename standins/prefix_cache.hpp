/// @file
/// Prefix cache of the model engine: a trie of prompt segments of bounded size with LRU eviction. Programs
/// with a common prefix share its memory.
#pragma once

#include "answer_text.hpp"
#include "masticcourse/core/clock.hpp"
#include "masticcourse/core/ids.hpp"
#include "masticcourse/messages/peer_message.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace masticcourse::standins
{

/// Cumulative cache statistics, in tokens.
struct cache_counters
{
    /// Prompt tokens computed by sequences.
    token_count prefilled = 0;
    /// Portion of @a prefilled that had been computed earlier and was lost since: wasted computation.
    token_count recomputed = 0;
    /// Prompt tokens served from the cache.
    token_count reused = 0;
    token_count evicted = 0;
    /// Portion of @a evicted that never had a cache hit: wasted memory.
    token_count evicted_unused = 0;
};

/// A segment of a prompt, identified by the prefix that ends with it.
struct prompt_segment
{
    prefix_key key = empty_prefix;
    prefix_key parent = empty_prefix;
    token_count tokens = 0;
};

/// @return the segments of a prompt in order
[[nodiscard]] std::vector<prompt_segment> to_segments(const std::vector<std::string>& prompt);

/// LRU cache of prompt prefixes. Segments pinned by a running sequence are never evicted.
class prefix_cache
{
  public:
    explicit prefix_cache(token_count capacity);

    /// @return the number of leading segments of @a prompt that are cached and computed
    [[nodiscard]] std::size_t cached_segments(const std::vector<prompt_segment>& prompt) const;

    /// Evicts unpinned segments, least recently used first, until @a tokens more fit.
    /// @return whether they fit
    bool make_room(token_count tokens);

    /// @return the tokens of @a prompt that have no memory allocated yet; segments that are allocated but not
    /// yet computed are not counted
    [[nodiscard]] token_count missing_tokens(const std::vector<prompt_segment>& prompt) const;

    /// Pins a prompt for a sequence of @a program and allocates memory for it. The caller ensures that it
    /// fits, see @ref make_room.
    /// @param cached number of leading segments that are already computed
    void pin(const program_id& program, const std::vector<prompt_segment>& prompt, std::size_t cached,
             core_time now);

    /// Releases a pin. Segments that were never computed are removed.
    void unpin(const std::vector<prompt_segment>& prompt, core_time now);

    /// Marks a pinned segment as computed.
    void mark_computed(const prompt_segment& segment);

    /// Inserts a computed, unpinned segment if its parent is cached and it fits.
    /// @return whether the segment is cached
    bool insert(const program_id& program, const prompt_segment& segment, core_time now);

    /// Reserves memory outside the prefix trie, for the completions of running sequences.
    void reserve(token_count tokens);
    void unreserve(token_count tokens);

    /// Removes segments that are referenced only by @a program and not pinned.
    void free_program(const program_id& program);

    /// @return all programs that occupy cache memory, ordered by id
    [[nodiscard]] std::vector<cached_program> cached_programs() const;

    /// @return the computed segments of a program, parents first
    [[nodiscard]] std::vector<prompt_segment> program_segments(const program_id& program) const;

    [[nodiscard]] token_count used() const
    {
        return m_used;
    }

    [[nodiscard]] token_count capacity() const
    {
        return m_capacity;
    }

    [[nodiscard]] const cache_counters& counters() const
    {
        return m_counters;
    }

  private:
    struct node
    {
        prompt_segment segment;
        std::uint32_t depth = 0;
        std::uint32_t children = 0;
        std::uint32_t pins = 0;
        bool computed = false;
        bool hit = false;
        core_time last_use;
        std::set<program_id> holders;
    };

    struct eviction_rank
    {
        core_time last_use;
        prefix_key key = empty_prefix;
        friend auto operator<=>(const eviction_rank&, const eviction_rank&) = default;
    };

    /// @return whether a node has no holders, pins or children
    [[nodiscard]] static bool is_unreferenced(const node& n);
    node& find_or_create(const prompt_segment& segment);
    void add_holder(node& n, const program_id& program);
    void touch(node& n, core_time now);
    void update_rank(node& n);
    void erase(prefix_key key);
    void evict(prefix_key key);

    token_count m_capacity;
    token_count m_used = 0;
    cache_counters m_counters;
    std::unordered_map<prefix_key, node> m_nodes;
    std::set<eviction_rank> m_evictable;
    std::map<program_id, std::set<prefix_key>> m_program_keys;
    std::unordered_set<prefix_key> m_computed_keys;
};

} // namespace masticcourse::standins
