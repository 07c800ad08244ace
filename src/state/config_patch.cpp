#include "masticcourse/state/config_patch.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace masticcourse
{

config_patch::config_patch(config_version base, std::string id, document_patch patch, retry_options retry)
    : m_base(base), m_id(std::move(id)), m_patch(std::move(patch)),
      m_exchange(retry, std::hash<std::string>{}(m_id))
{
}

std::optional<store_op> config_patch::poll(core_time now)
{
    if (m_state != patch_state::pending || !m_exchange.open(now))
    {
        return std::nullopt;
    }
    m_exchange.sent();
    if (m_next)
    {
        return table_put{std::string(config_key), encode(*m_next), m_version};
    }
    return table_get{std::string(config_key)};
}

void config_patch::on_reply(const store_reply& reply, core_time now)
{
    const store_answer answer = m_exchange.received(reply, now);
    if (answer == store_answer::lost && m_next)
    {
        m_unanswered_write = true;
        m_next.reset();
    }
    if (answer != store_answer::settled)
    {
        return;
    }
    if (m_next)
    {
        on_row_written(reply);
    }
    else
    {
        on_row_read(reply);
    }
}

core_time config_patch::next_wakeup() const
{
    return m_state == patch_state::pending ? m_exchange.ready_at() : core_time::max();
}

patch_state config_patch::state() const
{
    return m_state;
}

bool config_patch::may_be_accepted() const
{
    const bool write_in_flight = m_exchange.outstanding() && m_next;
    return m_state == patch_state::accepted || m_state == patch_state::unknown ||
           (m_state == patch_state::pending && (m_unanswered_write || write_in_flight));
}

const config_row& config_patch::row() const
{
    return m_row;
}

void config_patch::on_row_read(const store_reply& reply)
{
    m_version = reply.status == store_status::not_found ? 0 : reply.version;
    auto row = m_version == 0 ? std::optional(config_row{}) : decode_config_row(reply.value);
    if (!row)
    {
        m_state = patch_state::damaged_row;
        return;
    }
    m_row = std::move(*row);
    m_state = judge();
    if (m_state != patch_state::pending)
    {
        return;
    }
    auto document = m_patch(m_row.document);
    if (!document)
    {
        m_state = patch_state::rejected;
        return;
    }
    m_next = m_row;
    m_next->version = m_row.version + 1;
    m_next->document = std::move(*document);
    m_next->patches.push_back({.id = m_id, .version = m_next->version});
    if (m_next->patches.size() > remembered_patches)
    {
        m_next->patches.erase(m_next->patches.begin());
    }
}

void config_patch::on_row_written(const store_reply& reply)
{
    auto written = *std::exchange(m_next, std::nullopt);
    if (reply.status == store_status::ok)
    {
        m_row = std::move(written);
        m_state = patch_state::accepted;
    }
    // A conflict may be our own earlier attempt: the row tells.
}

patch_state config_patch::judge() const
{
    if (std::ranges::find(m_row.patches, m_id, &accepted_patch::id) != m_row.patches.end())
    {
        return patch_state::accepted;
    }
    if (m_row.version == m_base)
    {
        return patch_state::pending;
    }
    // If it was accepted, then as the version after its base; that one may be forgotten by now.
    const bool forgotten =
        m_row.version > m_base && (m_row.patches.empty() || m_row.patches.front().version > m_base + 1);
    return forgotten && m_unanswered_write ? patch_state::unknown : patch_state::conflict;
}

} // namespace masticcourse
