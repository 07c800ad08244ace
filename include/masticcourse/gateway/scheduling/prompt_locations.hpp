/// @file
/// Which targets are likely to have which parts of prompts in their cache, from the requests that this
/// gateway has sent to them.
#pragma once

#include "masticcourse/gateway/gateway_request.hpp"
#include "masticcourse/gateway/target_table.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

/// Tokens at the start of one prompt that targets are likely to have cached.
class cached_prefixes
{
  public:
    /// @return the number of tokens cached at the target
    [[nodiscard]] token_count at(const target_instance& target) const;

  private:
    friend class prompt_locations;

    struct holder
    {
        target_instance target;
        token_count tokens = 0;
    };

    std::vector<holder> m_holders;
    /// Cached at all other targets.
    token_count m_elsewhere = 0;
};

/// The targets at which this gateway's requests have left parts of their prompts. A target instance that has
/// restarted has nothing cached.
class prompt_locations
{
  public:
    /// @param max_parts number of prompt parts remembered; the least recently used ones are forgotten
    explicit prompt_locations(std::size_t max_parts);

    /// Records that a target has read a prompt and generated output, which extends the last part.
    void record(const target_instance& target, std::span<const prompt_part> prompt, token_count output,
                time_point now);

    /// @return the number of tokens at the start of the prompt that the target is likely to have cached
    [[nodiscard]] token_count cached_tokens(const target_instance& target,
                                            std::span<const prompt_part> prompt, time_point now) const;

    /// @return cached_tokens() for any target; cheaper if there are many candidates
    [[nodiscard]] cached_prefixes find(std::span<const prompt_part> prompt, time_point now) const;

    /// @return the number of prompt parts that are remembered
    [[nodiscard]] std::size_t size() const
    {
        return m_entries.size();
    }

  private:
    /// Identifies a part together with all parts before it: an engine's cache of a part is valid only after
    /// the same beginning.
    using part_key = std::uint64_t;

    struct holder
    {
        target_instance target;
        token_count tokens = 0;
        time_point used{};
    };

    /// The targets that have read one part.
    struct part_entry
    {
        part_key key = 0;
        std::vector<holder> holders;
        /// Set if more targets hold the part than are remembered: until this time, all others count as
        /// holders of that many tokens.
        time_point widespread_until{};
        token_count widespread_tokens = 0;

        [[nodiscard]] token_count tokens_at(const target_instance& target, time_point now) const;
        [[nodiscard]] token_count tokens_elsewhere(time_point now) const;
        void record(const holder& added);
    };

    using entry_list = std::list<part_entry>;

    [[nodiscard]] static part_key next_key(part_key previous, const prompt_part& part);
    [[nodiscard]] part_entry& touch(part_key key);
    [[nodiscard]] const part_entry* find_entry(part_key key) const;
    /// Adds up the held tokens from the first part on, to the first part that is not held as a whole.
    /// @param held returns the number of tokens of a part that the target holds
    template <typename Function>
    [[nodiscard]] token_count sum_of_leading_parts(std::span<const prompt_part> prompt, Function held) const;

    std::size_t m_max_parts;
    /// Most recently used first.
    entry_list m_entries;
    std::unordered_map<part_key, entry_list::iterator> m_index;
};

} // namespace masticcourse::gateway
