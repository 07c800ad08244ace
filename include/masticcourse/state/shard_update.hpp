/// @file
/// Changes that a shard's owner makes to its row: graceful release, and checkpoint.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/state/shard_row.hpp"
#include "masticcourse/state/store_retry.hpp"
#include "masticcourse/store/store_op.hpp"

#include <cstdint>
#include <optional>

namespace masticcourse
{

enum class update_state : std::uint8_t
{
    updating,
    done,
    /// Another process owns the shard by now: it is lost to us, and nothing was written.
    lost_shard,
};

/// One conditional write of a row that this process owns, settled whatever becomes of its answer.
class shard_update
{
  public:
    /// @param version the table's version of the row that @a next replaces
    shard_update(shard_row next, row_version version, retry_options retry);

    [[nodiscard]] std::optional<store_op> poll(core_time now);
    void on_reply(const store_reply& reply, core_time now);
    [[nodiscard]] core_time next_wakeup() const;

    [[nodiscard]] update_state state() const;

    /// @return the row as written
    [[nodiscard]] const shard_row& row() const;

    /// @return after `done`: the table's version of the row as written
    [[nodiscard]] row_version version() const;

  private:
    void on_write_reply(const store_reply& reply);
    void on_read_reply(const store_reply& reply);

    shard_row m_next;
    row_version m_version;
    store_exchange m_exchange;
    update_state m_state = update_state::updating;
    bool m_reading_back = false;
};

/// A graceful hand-over: nobody owns the shard afterwards, and its next owner needs no seal.
/// Start it when all records of the shard are durable; append none of them after that.
/// @param row         the row as owned
/// @param version     its version in the table
/// @param durable_end the process's own `journal_writer::durable_end()`
[[nodiscard]] shard_update shard_release(const shard_row& row, row_version version, std::uint64_t durable_end,
                                         retry_options retry);

/// A checkpoint: the shard's state stands wholly in our own journal from @a from_index on.
/// Start it when the snapshots are durable; @a from_index is what `next_index()` said before the first of
/// them.
[[nodiscard]] shard_update shard_checkpoint(const shard_row& row, row_version version,
                                            std::uint64_t from_index, retry_options retry);

} // namespace masticcourse
