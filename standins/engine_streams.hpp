/// @file
/// Completion streams of the HTTP model engine: the events of each stream and its subscribers.
#pragma once

#include "engine_model.hpp"
#include "masticcourse/net/http_server.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::standins
{

/// Stores the events of streams, so that a client can resume a stream after any event.
class engine_streams
{
  public:
    /// @return false if a stream with this id exists already
    bool create(const stream_id& id);

    [[nodiscard]] bool contains(const stream_id& id) const;

    /// Sends a client all events after @a last_event_id, followed by new events as they arrive.
    void subscribe(const stream_id& id, std::optional<std::uint64_t> last_event_id,
                   std::shared_ptr<http_exchange> exchange);

    void add_token(const token_event& event);

    /// Ends a stream; @a reason is `stop`, `cancelled` or `too_long`.
    void finish(const stream_id& id, const token_usage& usage, const std::string& reason);

    /// Fault injection: the next @a count streams that exceed @a tokens tokens lose their connections at that
    /// point.
    void drop_after(std::uint64_t tokens, std::uint32_t count);

  private:
    struct stream
    {
        std::vector<std::string> events;
        bool finished = false;
        std::vector<std::shared_ptr<http_exchange>> subscribers;
    };

    void append_event(stream& s, const std::string& data);

    std::map<stream_id, stream> m_streams;
    /// Finished streams in order of completion, oldest first.
    std::deque<stream_id> m_finished;
    std::uint64_t m_drop_threshold = 0;
    std::uint32_t m_drops_remaining = 0;
};

} // namespace masticcourse::standins
