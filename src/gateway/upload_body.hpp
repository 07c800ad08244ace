/// @file
/// The body of a request that is passed on to a target while its caller sends it.
#pragma once

#include "masticcourse/gateway/request_fingerprint.hpp"
#include "masticcourse/memory/memory_account.hpp"
#include "masticcourse/net/http_body.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::gateway::detail
{

/// What an attempt gets is at each moment a prefix of what the caller has sent: an attempt for which a part
/// is gone gets no further one, and ends as broken. What has been passed on is kept as long as there is room
/// for it, so that the request can be sent once more. Not thread-safe; its callbacks run on the thread that
/// reads from the caller.
class upload_body final : public http_body_source, public std::enable_shared_from_this<upload_body>
{
  public:
    /// @param beginning what has been read already
    /// @param rest      the rest
    /// @param length    size of the whole in bytes, if it is known
    /// @param kept      for what is kept
    upload_body(std::string beginning, std::shared_ptr<http_body_source> rest,
                std::optional<std::uint64_t> length, memory_lease kept);

    /// Called with the digest of the whole body before its last part is passed on. If it returns false, the
    /// part is withheld, so that no target takes the body for whole.
    void on_whole(std::function<bool()> callback)
    {
        m_on_whole = std::move(callback);
    }

    /// Called if the caller stops sending; nothing more is read then.
    void on_stalled(std::function<void()> callback)
    {
        m_on_stalled = std::move(callback);
    }

    /// @return whether the body can still be sent from its beginning
    [[nodiscard]] bool can_restart() const
    {
        return !m_dropped;
    }

    /// Starts the next attempt: the body is read from its beginning again.
    void restart();

    /// Releases everything; reads fail from now on.
    void close();

    /// Implements http_body_source.
    void read(http_body_callback on_part) override;

    [[nodiscard]] std::optional<std::uint64_t> length() const
    {
        return m_length;
    }

    /// @return the digest of the whole body; nothing until it has been read
    [[nodiscard]] const std::optional<std::string>& digest() const
    {
        return m_digest;
    }

  private:
    void pass_on();
    void on_part(http_body_part part);
    void keep(const std::string& part);
    /// Drops what has been kept, so that there is no further attempt.
    void drop_kept();
    void deliver(http_body_part part);

    std::shared_ptr<http_body_source> m_rest;
    std::optional<std::uint64_t> m_length;
    memory_lease m_memory;
    body_hash m_hash;
    std::optional<std::string> m_digest;
    /// All parts so far; empty once they have been dropped.
    std::vector<std::string> m_kept;
    /// The next of them to pass on.
    std::size_t m_position = 0;
    bool m_dropped = false;
    /// A part is gone that the current attempt has not got.
    bool m_part_lost = false;
    /// All has been read from the caller.
    bool m_complete = false;
    bool m_reading = false;
    http_body_callback m_waiting;
    std::function<bool()> m_on_whole;
    std::function<void()> m_on_stalled;
};

} // namespace masticcourse::gateway::detail
