#include "masticcourse/state/shard_claim.hpp"

#include "masticcourse/core/invariant.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace masticcourse
{

shard_claim::shard_claim(shard_index shard, claimant self, recovered_journals& journals)
    : m_shard(shard), m_self(std::move(self)), m_journals(&journals),
      m_exchange(m_self.retry, std::hash<incarnation_id>{}(m_self.incarnation) + shard)
{
    m_row.shard = shard;
}

std::optional<store_op> shard_claim::poll(core_time now)
{
    advance();
    if (!m_exchange.open(now) || !wants_store())
    {
        return std::nullopt;
    }
    m_exchange.sent();
    if (m_step != step::write_row)
    {
        return table_get{shard_key(m_shard)};
    }
    m_written = next_row();
    return table_put{shard_key(m_shard), encode(*m_written), m_version};
}

void shard_claim::on_reply(const store_reply& reply, core_time now)
{
    const store_answer answer = m_exchange.received(reply, now);
    if (answer == store_answer::lost && m_step == step::write_row)
    {
        // A write without an answer is settled by the row itself.
        m_step = step::read_row;
    }
    if (answer != store_answer::settled)
    {
        return;
    }
    if (m_step == step::write_row)
    {
        on_row_written(reply);
    }
    else
    {
        on_row_read(reply);
    }
    advance();
}

core_time shard_claim::next_wakeup() const
{
    return wants_store() ? m_exchange.ready_at() : core_time::max();
}

claim_state shard_claim::state() const
{
    return m_state;
}

const shard_row& shard_claim::row() const
{
    return m_row;
}

row_version shard_claim::version() const
{
    return m_version;
}

const std::vector<journal_record>& shard_claim::records() const
{
    return m_records;
}

const std::vector<damaged_entry>& shard_claim::damages() const
{
    return m_damages;
}

void shard_claim::advance()
{
    if (m_step == step::seal_owner && m_journals->end_of(m_row.owner))
    {
        m_step = step::write_row;
    }
    if (m_step == step::read_parts &&
        std::ranges::all_of(former_parts(), [&](const journal_part& it) { return m_journals->has(it); }))
    {
        m_step = step::confirm_row;
    }
}

void shard_claim::on_row_read(const store_reply& reply)
{
    if (m_step == step::confirm_row && reply.status == store_status::ok && reply.version == m_version)
    {
        collect_records();
        m_step = step::finished;
        m_state = claim_state::taken;
        return;
    }
    m_version = reply.status == store_status::not_found ? 0 : reply.version;
    if (m_version == 0)
    {
        m_row = {.shard = m_shard};
        m_step = step::write_row;
        return;
    }
    auto row = decode_shard_row(reply.value);
    if (!row || row->shard != m_shard)
    {
        m_step = step::finished;
        m_state = claim_state::damaged_row;
        return;
    }
    m_row = std::move(*row);
    if (m_row.owner == m_self.incarnation)
    {
        // No other process writes our incarnation: this is the write whose answer was lost.
        row_is_ours(m_version);
    }
    else if (m_row.owner.empty())
    {
        m_step = step::write_row;
    }
    else if (m_self.may_take(m_row))
    {
        m_journals->seal(m_row.owner);
        m_step = step::seal_owner;
    }
    else
    {
        m_step = step::finished;
        m_state = claim_state::taken_by_other;
    }
}

bool shard_claim::wants_store() const
{
    return m_step == step::read_row || m_step == step::write_row || m_step == step::confirm_row;
}

void shard_claim::on_row_written(const store_reply& reply)
{
    if (reply.status == store_status::ok)
    {
        m_row = *m_written;
        row_is_ours(reply.version);
    }
    else
    {
        m_step = step::read_row;
    }
}

void shard_claim::row_is_ours(row_version version)
{
    m_version = version;
    m_step = step::read_parts;
    std::ranges::for_each(former_parts(), [&](const journal_part& it) { m_journals->read(it); });
}

shard_row shard_claim::next_row() const
{
    shard_row result{.shard = m_shard,
                     .epoch = m_row.epoch + 1,
                     .owner = m_self.incarnation,
                     .owner_name = m_self.name,
                     .owner_address = m_self.address,
                     .parts = m_row.parts};
    for (auto& it : result.parts)
    {
        // Only the owner's own part is still open, and its journal has ended at the seal.
        it.until = it.until ? it.until : m_journals->end_of(it.journal);
    }
    std::erase_if(result.parts,
                  [](const journal_part& it) { return it.until && *it.until <= it.from_index; });
    result.parts.push_back({.journal = m_self.incarnation, .from_index = m_self.next_index()});
    return result;
}

std::vector<journal_part> shard_claim::former_parts() const
{
    std::vector<journal_part> result;
    std::ranges::copy_if(m_row.parts, std::back_inserter(result),
                         [](const journal_part& it) { return it.until.has_value(); });
    return result;
}

void shard_claim::collect_records()
{
    const auto append = [](auto& to, auto&& from) { to.insert(to.end(), from.begin(), from.end()); };
    for (const auto& it : former_parts())
    {
        append(m_records, m_journals->records(it, m_shard));
        append(m_damages, m_journals->damages(it));
    }
    // Each part is one owner's, parts stand in the order of ownership, and an owner that lost a shard adds
    // nothing.
    MASTICCOURSE_INVARIANT(std::ranges::is_sorted(m_records, {}, &journal_record::epoch),
                           "records of a shard out of order of their epochs");
}

} // namespace masticcourse
