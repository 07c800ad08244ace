/// @file
/// Ends and reads the journal of another incarnation.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/state/journal_record.hpp"
#include "masticcourse/state/store_retry.hpp"
#include "masticcourse/store/store_op.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace masticcourse
{

/// An entry that a journal ought to hold and that can't be read as a good one.
struct damaged_entry
{
    incarnation_id journal;
    std::uint64_t index = 0;
    journal_damage damage = journal_damage::none;
    /// There is no such object at all.
    bool missing = false;
    friend bool operator==(const damaged_entry&, const damaged_entry&) = default;
};

/// @return the index that an object's key names in a journal, if it is such a key
[[nodiscard]] std::optional<std::uint64_t> journal_index_of(const incarnation_id& journal,
                                                            const std::string& key);

/// @return the highest index among the keys of an `object_list` (0: none)
[[nodiscard]] std::uint64_t last_index_of(const incarnation_id& journal, const store_reply& listed);

/// @return the operation that lists a journal's entries
[[nodiscard]] store_op list_journal(const incarnation_id& journal);

/// Seals a journal on demand and reads ranges of its entries. It goes on by itself after any outage.
class journal_recovery
{
  public:
    /// @param journal whose journal to read
    /// @param reader  the incarnation that signs the seal
    journal_recovery(incarnation_id journal, incarnation_id reader, retry_options retry);

    /// Asks for the journal's end to be found and closed by a seal. Afterwards its owner can add nothing.
    void seal();

    /// Asks for the entries from @a from to before @a until. Without a bound: up to the seal.
    void read(std::uint64_t from, std::optional<std::uint64_t> until);

    [[nodiscard]] std::optional<store_op> poll(core_time now);
    void on_reply(const store_reply& reply, core_time now);
    [[nodiscard]] core_time next_wakeup() const;

    /// @return the index of the seal, once it stands
    [[nodiscard]] std::optional<std::uint64_t> end() const;

    /// @return whether all that was asked for is there
    [[nodiscard]] bool done() const;

    /// @return whether all entries from @a from to before @a until have been read, good or not
    [[nodiscard]] bool has(std::uint64_t from, std::uint64_t until) const;

    /// @return the good entries read so far, by index, without the seal
    [[nodiscard]] const std::map<std::uint64_t, journal_entry>& entries() const;

    [[nodiscard]] const std::vector<damaged_entry>& damages() const;

  private:
    enum class step : std::uint8_t
    {
        idle,
        list,
        read_last,
        write_seal,
        read_entry,
    };

    [[nodiscard]] step next_step() const;
    [[nodiscard]] store_op operation_for(step what);
    void on_listed(const store_reply& reply);
    void on_last_read(const store_reply& reply);
    void on_seal_reply(const store_reply& reply);
    void on_entry_read(const store_reply& reply);
    void seal_stands(std::uint64_t index);
    void add_range(std::uint64_t from, std::uint64_t until);

    incarnation_id m_journal;
    incarnation_id m_reader;
    store_exchange m_exchange;
    bool m_seal_wanted = false;
    bool m_listed = false;
    /// The entry to look at next for a seal; unset: the next place to try a seal in is m_seal_at.
    std::optional<std::uint64_t> m_look_at;
    /// The entry to look at was the last one of a listing.
    bool m_looking_at_top = false;
    std::uint64_t m_seal_at = 1;
    /// Our own seal (0: none yet); it stands once a listing shows nothing above it.
    std::uint64_t m_written_seal = 0;
    std::optional<std::uint64_t> m_end;
    std::set<std::uint64_t> m_open_ranges;
    std::set<std::uint64_t> m_wanted;
    /// The entry whose read is outstanding.
    std::uint64_t m_reading = 0;
    std::set<std::uint64_t> m_seen;
    std::map<std::uint64_t, journal_entry> m_entries;
    std::vector<damaged_entry> m_damages;
    step m_step = step::idle;
};

} // namespace masticcourse
