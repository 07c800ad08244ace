#include "masticcourse/state/config_tracker.hpp"

#include "masticcourse/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse
{

config_tracker::config_tracker(config_tracker_options options, std::uint64_t seed)
    : m_options(options), m_random(seed), m_exchange(options.retry, seed)
{
}

std::optional<store_op> config_tracker::poll(core_time now)
{
    if (now < next_store_read())
    {
        return std::nullopt;
    }
    m_exchange.sent();
    m_named_when_sent = m_newest_named;
    return table_get{std::string(config_key)};
}

void config_tracker::on_reply(const store_reply& reply, core_time now)
{
    const store_answer answer = m_exchange.received(reply, now);
    if (answer != store_answer::settled)
    {
        m_store_failed = m_store_failed || answer != store_answer::none;
        return;
    }
    m_next_poll = now + jittered(m_options.poll_period, m_random);
    const auto row = reply.status == store_status::not_found ? std::optional(config_row{})
                                                             : decode_config_row(reply.value);
    if (!row)
    {
        m_store_failed = true;
        return;
    }
    m_store_answered = true;
    apply(row->version, row->document);
    if (m_newest_named == m_named_when_sent)
    {
        // The row is what counts: a version that it doesn't reach has never been accepted.
        m_newest_named = m_version;
    }
}

void config_tracker::on_named(const incarnation_id& peer, config_version version, core_time now)
{
    const bool other_is_silent = behind() && m_peer_deadline && now >= *m_peer_deadline;
    if (version > m_newest_named || (version == m_newest_named && other_is_silent))
    {
        m_newest_named = version;
        m_newest_peer = peer;
        m_peer_deadline.reset();
    }
}

std::optional<config_fetch> config_tracker::poll_peers(core_time now)
{
    if (!behind() || m_peer_deadline || m_newest_peer.empty())
    {
        return std::nullopt;
    }
    m_peer_deadline = now + m_options.peer_timeout;
    return config_fetch{.peer = m_newest_peer, .request = {.newer_than = m_version}};
}

void config_tracker::on_peer_reply(const config_reply& reply, core_time /*now*/)
{
    m_peer_answered = true;
    apply(reply.version, reply.document);
}

std::optional<config_reply> config_tracker::answer(const config_request& request) const
{
    if (!ready())
    {
        return std::nullopt;
    }
    if (request.newer_than >= m_version)
    {
        return config_reply{.version = m_version, .document = {}};
    }
    return config_reply{.version = m_version, .document = m_document};
}

bool config_tracker::apply(config_version version, const std::string& document)
{
    if (version == m_version && !document.empty() && document != m_document)
    {
        ++m_contradictions;
        MASTICCOURSE_INVARIANT(false, "one configuration version with two documents");
    }
    if (version <= m_version)
    {
        return false;
    }
    m_version = version;
    m_document = document;
    m_newest_named = std::max(m_newest_named, version);
    return true;
}

bool config_tracker::ready() const
{
    return !behind() && (m_store_answered || (m_store_failed && m_peer_answered));
}

config_version config_tracker::version() const
{
    return m_version;
}

const std::string& config_tracker::document() const
{
    return m_document;
}

config_version config_tracker::newest_named() const
{
    return m_newest_named;
}

std::uint64_t config_tracker::contradictions() const
{
    return m_contradictions;
}

core_time config_tracker::next_wakeup() const
{
    const bool peer_to_ask = behind() && !m_peer_deadline && !m_newest_peer.empty();
    return peer_to_ask ? core_time::min() : next_store_read();
}

core_time config_tracker::next_store_read() const
{
    // A peer that named a newer version and doesn't send it is passed over.
    const core_time due = behind() && m_peer_deadline ? std::min(m_next_poll, *m_peer_deadline) : m_next_poll;
    return std::max(due, m_exchange.ready_at());
}

bool config_tracker::behind() const
{
    return m_version < m_newest_named;
}

} // namespace masticcourse
