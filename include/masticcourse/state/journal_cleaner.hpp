/// @file
/// Deletes the entries of journals that no shard's row names any more.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/state/shard_row.hpp"
#include "masticcourse/state/store_retry.hpp"
#include "masticcourse/store/store_op.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace masticcourse
{

/// One pass over one journal. It never deletes the last entry of a journal: while that stands, a writer that
/// slept through its own seal can't write in its place, and a successor finds the true end.
class journal_cleaner
{
  public:
    /// @param journal   whose entries to delete
    /// @param most      most entries to delete in this pass
    journal_cleaner(incarnation_id journal, std::size_t most, retry_options retry);

    [[nodiscard]] std::optional<store_op> poll(core_time now);
    void on_reply(const store_reply& reply, core_time now);
    [[nodiscard]] core_time next_wakeup() const;
    [[nodiscard]] bool done() const;

    /// @return how many entries this pass deleted
    [[nodiscard]] std::size_t deleted() const;

  private:
    enum class step : std::uint8_t
    {
        list_entries,
        list_rows,
        remove,
        finished,
    };

    void on_entries(const store_reply& reply);
    void on_rows(const store_reply& reply);

    incarnation_id m_journal;
    std::size_t m_most;
    store_exchange m_exchange;
    step m_step = step::list_entries;
    std::deque<std::string> m_keys;
    std::size_t m_deleted = 0;
};

} // namespace masticcourse
