#include "engine_streams.hpp"

#include "masticcourse/net/sse.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace masticcourse::standins
{

namespace
{

/// Maximum number of finished streams kept for replay.
constexpr std::size_t max_finished = 4096;
constexpr int status_ok = 200;

} // namespace

bool engine_streams::create(const stream_id& id)
{
    return m_streams.try_emplace(id).second;
}

bool engine_streams::contains(const stream_id& id) const
{
    return m_streams.contains(id);
}

void engine_streams::subscribe(const stream_id& id, std::optional<std::uint64_t> last_event_id,
                               std::shared_ptr<http_exchange> exchange)
{
    stream& s = m_streams.at(id);
    exchange->begin_stream(status_ok, {});
    const std::uint64_t first = last_event_id ? *last_event_id + 1 : 0;
    for (std::uint64_t n = first; n < s.events.size(); ++n)
    {
        exchange->write(s.events[n]);
    }
    if (s.finished)
    {
        exchange->end_stream();
        return;
    }
    s.subscribers.push_back(std::move(exchange));
}

void engine_streams::add_token(const token_event& event)
{
    const auto it = m_streams.find(event.stream);
    if (it == m_streams.end())
    {
        return;
    }
    append_event(it->second, nlohmann::json{{"token", event.text}}.dump());
    if (m_drops_remaining > 0 && event.index >= m_drop_threshold)
    {
        // Releasing the exchange before the end of the stream closes its connection.
        m_drops_remaining -= 1;
        it->second.subscribers.clear();
    }
}

void engine_streams::finish(const stream_id& id, const token_usage& usage, const std::string& reason)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end() || it->second.finished)
    {
        return;
    }
    stream& s = it->second;
    const nlohmann::json usage_json{
        {"prompt", usage.prompt}, {"cached", usage.cached}, {"completion", usage.completion}};
    append_event(s, nlohmann::json{{"finish", reason}, {"usage", usage_json}}.dump());
    s.finished = true;
    std::ranges::for_each(s.subscribers, [](const auto& subscriber) { subscriber->end_stream(); });
    s.subscribers.clear();
    m_finished.push_back(id);
    if (m_finished.size() > max_finished)
    {
        m_streams.erase(m_finished.front());
        m_finished.pop_front();
    }
}

void engine_streams::drop_after(std::uint64_t tokens, std::uint32_t count)
{
    m_drop_threshold = tokens;
    m_drops_remaining = count;
}

void engine_streams::append_event(stream& s, const std::string& data)
{
    s.events.push_back(format_sse({.id = std::to_string(s.events.size()), .event = {}, .data = data}));
    std::ranges::for_each(s.subscribers,
                          [&s](const auto& subscriber) { subscriber->write(s.events.back()); });
}

} // namespace masticcourse::standins
