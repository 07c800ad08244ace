/// @file
/// The journals that this process is taking shards from, each sealed and read once for all of its shards.
#pragma once

#include "masticcourse/state/journal_recovery.hpp"
#include "masticcourse/state/shard_row.hpp"

#include <map>
#include <optional>
#include <vector>

namespace masticcourse
{

/// A cache of recoveries. It is itself a state machine of the store, polled beside the claims that use it.
class recovered_journals
{
  public:
    recovered_journals(incarnation_id reader, retry_options retry);

    /// Asks for a journal to be sealed.
    void seal(const incarnation_id& journal);

    /// Asks for the entries of a part to be read.
    void read(const journal_part& part);

    /// @return the index of the journal's seal, once it stands
    [[nodiscard]] std::optional<std::uint64_t> end_of(const incarnation_id& journal) const;

    /// @return whether all entries of a part with an end have been read
    [[nodiscard]] bool has(const journal_part& part) const;

    /// @return the records of one shard in the entries of a part, in order
    [[nodiscard]] std::vector<journal_record> records(const journal_part& part, shard_index shard) const;

    /// @return the entries of the part that are damaged or missing
    [[nodiscard]] std::vector<damaged_entry> damages(const journal_part& part) const;

    /// Forgets all journals. Only while no claim is under way.
    void clear();

    [[nodiscard]] std::optional<store_op> poll(core_time now);
    void on_reply(const store_reply& reply, core_time now);
    [[nodiscard]] core_time next_wakeup() const;

  private:
    journal_recovery& recovery_of(const incarnation_id& journal);

    incarnation_id m_reader;
    retry_options m_retry;
    std::map<incarnation_id, journal_recovery> m_journals;
    /// Whose operation is outstanding.
    std::optional<incarnation_id> m_in_flight;
    /// Whose turn it was last, so that one journal doesn't hold up the others.
    incarnation_id m_last;
};

} // namespace masticcourse
