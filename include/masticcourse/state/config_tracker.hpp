/// @file
/// The configuration in force as one process knows it; it never goes back.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/messages/peer_message.hpp"
#include "masticcourse/state/config_row.hpp"
#include "masticcourse/state/store_retry.hpp"
#include "masticcourse/store/store_op.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace masticcourse
{

struct config_tracker_options
{
    /// Mean time between reads of the row when no peer names a newer version.
    core_duration poll_period = std::chrono::seconds{60};
    /// How long to wait for a peer's answer before the store is asked.
    core_duration peer_timeout = std::chrono::milliseconds{500};
    retry_options retry{};
};

/// A request to one peer.
struct config_fetch
{
    incarnation_id peer;
    config_request request;
};

/// Follows the configuration by the versions that peers name and by a slow poll of the store.
class config_tracker
{
  public:
    /// @param seed spreads the polls of different processes
    config_tracker(config_tracker_options options, std::uint64_t seed);

    /// @name Towards the store
    /// @{
    [[nodiscard]] std::optional<store_op> poll(core_time now);
    void on_reply(const store_reply& reply, core_time now);
    /// @}

    /// @name Towards peers
    /// @{
    /// A peer's hello or heartbeat named a version.
    void on_named(const incarnation_id& peer, config_version version, core_time now);
    /// @return whom to ask for a newer version, if anybody
    [[nodiscard]] std::optional<config_fetch> poll_peers(core_time now);
    void on_peer_reply(const config_reply& reply, core_time now);
    /// @return the answer to a peer's request; none while this process itself doesn't know what is in force
    [[nodiscard]] std::optional<config_reply> answer(const config_request& request) const;
    /// @}

    /// Takes a version from a patch that this process made itself.
    /// @return whether it was newer
    bool apply(config_version version, const std::string& document);

    /// Whether the process may serve: it holds the newest version that it has heard of, and has heard from
    /// the store, or during an outage at least from a peer that serves.
    [[nodiscard]] bool ready() const;

    [[nodiscard]] config_version version() const;
    [[nodiscard]] const std::string& document() const;

    /// @return the newest version that anybody named
    [[nodiscard]] config_version newest_named() const;

    /// How often the same version came with another document: always 0 if the row is written by
    /// `config_patch`.
    [[nodiscard]] std::uint64_t contradictions() const;

    [[nodiscard]] core_time next_wakeup() const;

  private:
    [[nodiscard]] core_time next_store_read() const;
    [[nodiscard]] bool behind() const;

    config_tracker_options m_options;
    std::uint64_t m_random;
    store_exchange m_exchange;
    config_version m_version = 0;
    std::string m_document = "{}";
    config_version m_newest_named = 0;
    /// The newest version named when the outstanding read was sent.
    config_version m_named_when_sent = 0;
    incarnation_id m_newest_peer;
    std::optional<core_time> m_peer_deadline;
    core_time m_next_poll = core_time::min();
    bool m_store_answered = false;
    bool m_store_failed = false;
    bool m_peer_answered = false;
    std::uint64_t m_contradictions = 0;
};

} // namespace masticcourse
