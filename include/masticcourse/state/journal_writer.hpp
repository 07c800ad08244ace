/// @file
/// Group commit into one process's own journal.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/state/journal_record.hpp"
#include "masticcourse/state/store_retry.hpp"
#include "masticcourse/store/store_op.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace masticcourse
{

/// Names an appended record; tickets grow with each append, from 1.
using journal_ticket = std::uint64_t;

struct journal_options
{
    /// Least time between two appends; it bounds the process's writes per second.
    core_duration min_gap{};
    /// About how many bytes of records one entry takes; a larger record goes alone.
    std::size_t max_entry_bytes = std::size_t{1} << 20U;
    retry_options retry{};
};

/// Collects records and writes them in groups, one conditional create in flight at a time.
/// The caller sends what `poll` returns and hands the answer to `on_reply`.
class journal_writer
{
  public:
    journal_writer(incarnation_id journal, journal_options options);

    /// Adds a record behind all others.
    /// @return the ticket by which `durable` tells that it is safe
    journal_ticket append(journal_record record, core_time now);

    /// Puts another payload in the place of a record's, if no attempt to write the record can have taken
    /// effect.
    /// @return whether it did so; if so, what was there before never becomes durable
    bool try_replace(journal_ticket ticket, journal_payload payload);

    /// @return the next operation to send, if any; none while an answer is outstanding
    [[nodiscard]] std::optional<store_op> poll(core_time now);

    /// The answer to the operation that `poll` gave out last.
    void on_reply(const store_reply& reply, core_time now);

    /// @return the last ticket up to which all records are durable
    [[nodiscard]] journal_ticket durable() const;

    /// @return the ticket of the record appended last (0: none yet)
    [[nodiscard]] journal_ticket last_ticket() const;

    /// A successor ended this journal, or another writer took a place in it: stop at once.
    [[nodiscard]] bool sealed() const;

    /// @return the age of the oldest record that is not durable
    [[nodiscard]] core_duration stalled_for(core_time now) const;

    /// @return the lowest index at which a record appended from now on can stand
    [[nodiscard]] std::uint64_t next_index() const;

    /// @return the first index whose entry is not durable; all entries below it are
    [[nodiscard]] std::uint64_t durable_end() const;

    /// @return when `poll` can next have something to send (`core_time::max()`: nothing to do)
    [[nodiscard]] core_time next_wakeup() const;

    /// @return estimated bytes of the records that are not durable
    [[nodiscard]] std::size_t pending_bytes() const;

  private:
    struct pending_record
    {
        journal_record record;
        core_time appended;
        std::size_t bytes;
    };

    /// The entry that is being written. It does not change once an attempt may have taken effect.
    struct open_entry
    {
        journal_entry entry;
        journal_ticket last;
        core_time oldest;
        std::size_t pending_bytes;
        bool may_be_written = false;
    };

    enum class step : std::uint8_t
    {
        write,
        read_back,
    };

    void open_next_entry();
    /// @return a record that no attempt can have written yet, or `nullptr`
    [[nodiscard]] journal_record* find_unwritten(journal_ticket ticket);
    void on_write_reply(const store_reply& reply, core_time now);
    void on_read_reply(const store_reply& reply, core_time now);
    void entry_durable();

    incarnation_id m_journal;
    journal_options m_options;
    store_retry m_retry;
    std::deque<pending_record> m_pending;
    std::size_t m_pending_bytes = 0;
    journal_ticket m_appended = 0;
    journal_ticket m_durable = 0;
    std::uint64_t m_next_index = 1;
    std::optional<open_entry> m_open;
    step m_step = step::write;
    bool m_in_flight = false;
    bool m_sealed = false;
    core_time m_gap_over = core_time::min();
};

/// @return about how many bytes the record takes in an entry
[[nodiscard]] std::size_t estimated_bytes(const journal_record& record);

} // namespace masticcourse
