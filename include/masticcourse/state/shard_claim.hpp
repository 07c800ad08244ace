/// @file
/// How an entry process takes one shard, with all that its former owners made durable.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/state/recovered_journals.hpp"
#include "masticcourse/state/shard_row.hpp"
#include "masticcourse/store/store_op.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse
{

/// Who claims, and what a claim must ask its process.
struct claimant
{
    incarnation_id incarnation;
    process_name name;
    /// Where the process takes connections, "ip:port".
    std::string address;
    /// Whether a shard of this owner may be taken: no heartbeat from it for a lease.
    std::function<bool(const shard_row&)> may_take;
    /// The process's own `journal_writer::next_index()`.
    std::function<std::uint64_t()> next_index;
    retry_options retry{};
};

enum class claim_state : std::uint8_t
{
    /// Under way.
    claiming,
    /// The shard is ours and all its records are here.
    taken,
    /// A live process owns it; see `row()`.
    taken_by_other,
    /// The row can't be read as a good one; nothing was changed.
    damaged_row,
};

/// One attempt to take one shard. A row that already names this incarnation counts as ours: so a process that
/// gave up a claim and later finds itself named starts another one. Several run at a time over one
/// `recovered_journals`, which the caller polls beside them.
class shard_claim
{
  public:
    /// @param journals must outlive the claim
    shard_claim(shard_index shard, claimant self, recovered_journals& journals);

    [[nodiscard]] std::optional<store_op> poll(core_time now);
    void on_reply(const store_reply& reply, core_time now);
    [[nodiscard]] core_time next_wakeup() const;

    [[nodiscard]] claim_state state() const;

    /// @return the row as last read or written: ours after `taken`, the other owner's after `taken_by_other`
    [[nodiscard]] const shard_row& row() const;

    /// @return the table's version of `row()`, for `shard_release` and `shard_checkpoint`
    [[nodiscard]] row_version version() const;

    /// @return after `taken`: all records of the shard, in order
    [[nodiscard]] const std::vector<journal_record>& records() const;

    /// @return after `taken`: entries that should hold records of the shard and can't be read
    [[nodiscard]] const std::vector<damaged_entry>& damages() const;

  private:
    enum class step : std::uint8_t
    {
        read_row,
        seal_owner,
        write_row,
        read_parts,
        /// The row is read once more: only if it is still as we wrote it, nothing that we read had been
        /// cleaned away by a successor while we slept.
        confirm_row,
        finished,
    };

    void advance();
    /// Whether the claim itself has something to ask the store; else it waits for the journals.
    [[nodiscard]] bool wants_store() const;
    void on_row_read(const store_reply& reply);
    void on_row_written(const store_reply& reply);
    void row_is_ours(row_version version);
    [[nodiscard]] shard_row next_row() const;
    /// @return the parts that former owners wrote; only our own is open
    [[nodiscard]] std::vector<journal_part> former_parts() const;
    void collect_records();

    shard_index m_shard;
    claimant m_self;
    recovered_journals* m_journals;
    store_exchange m_exchange;
    step m_step = step::read_row;
    claim_state m_state = claim_state::claiming;
    row_version m_version = 0;
    shard_row m_row;
    /// The row that a write without an answer may have left behind.
    std::optional<shard_row> m_written;
    std::vector<journal_record> m_records;
    std::vector<damaged_entry> m_damages;
};

} // namespace masticcourse
