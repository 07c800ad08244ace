/// @file
/// The prefix cache of the model engine: a trie of prompt segments in bounded memory, least recently used
/// first out. Programs that share a prefix share its memory.
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

/// What the cache has cost so far, in tokens.
struct cache_counters
{
    /// Prompt tokens that sequences computed.
    token_count prefilled = 0;
    /// The part of @a prefilled that had been computed before, and was dropped since: wasted work.
    token_count recomputed = 0;
    /// Prompt tokens that sequences found in the cache.
    token_count reused = 0;
    token_count evicted = 0;
    /// The part of @a evicted that no sequence ever found: wasted memory.
    token_count evicted_unused = 0;
};

/// One segment of a prompt, with its place in the prompt.
struct prompt_segment
{
    prefix_key key = empty_prefix;
    prefix_key parent = empty_prefix;
    token_count tokens = 0;
};

/// @return the segments of a prompt, first to last
[[nodiscard]] std::vector<prompt_segment> to_segments(const std::vector<std::string>& prompt);

/// The cache. Segments that a running sequence pins are never evicted.
class prefix_cache
{
  public:
    explicit prefix_cache(token_count capacity);

    /// @return how many leading segments of @a prompt are held and computed
    [[nodiscard]] std::size_t cached_segments(const std::vector<prompt_segment>& prompt) const;

    /// Makes room for @a tokens by evicting what nothing pins.
    /// @return whether they fit now
    bool make_room(token_count tokens);

    /// @return the tokens of @a prompt that are not held yet, computed or not
    [[nodiscard]] token_count missing_tokens(const std::vector<prompt_segment>& prompt) const;

    /// Pins a prompt for a sequence of @a program and holds memory for it. There must be room for it.
    /// @param cached the leading segments that the sequence need not compute
    void pin(const program_id& program, const std::vector<prompt_segment>& prompt, std::size_t cached,
             core_time now);

    /// Ends a pin. Segments that were never computed are dropped.
    void unpin(const std::vector<prompt_segment>& prompt, core_time now);

    /// A sequence has computed this pinned segment.
    void mark_computed(const prompt_segment& segment);

    /// Holds a computed segment that nothing pins, if its parent is held and there is room.
    /// @return whether it is held
    bool insert(const program_id& program, const prompt_segment& segment, core_time now);

    /// Memory that is no prefix: the answers of running sequences.
    void reserve(token_count tokens);
    void unreserve(token_count tokens);

    /// Frees what only @a program holds and nothing pins.
    void free_program(const program_id& program);

    /// @return all programs that hold memory, in order of their ids
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

    /// Nobody has a use for it any more.
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
