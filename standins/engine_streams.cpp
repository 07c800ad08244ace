#include "engine_streams.hpp"

#include "masticcourse/net/sse.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace masticcourse::standins
{

namespace
{

/// Finished streams that can still be read again.
constexpr std::size_t max_finished = 4096;
constexpr int status_ok = 200;

} // namespace

bool engine_streams::open(const stream_id& id)
{
    return m_streams.try_emplace(id).second;
}

bool engine_streams::contains(const stream_id& id) const
{
    return m_streams.contains(id);
}

void engine_streams::listen(const stream_id& id, std::optional<std::uint64_t> last,
                            std::shared_ptr<http_exchange> exchange)
{
    stream& s = m_streams.at(id);
    exchange->begin_stream(status_ok, {});
    const std::uint64_t first = last ? *last + 1 : 0;
    for (std::uint64_t n = first; n < s.events.size(); ++n)
    {
        exchange->write(s.events[n]);
    }
    if (s.finished)
    {
        exchange->end_stream();
        return;
    }
    s.listeners.push_back(std::move(exchange));
}

void engine_streams::add_token(const token_event& event)
{
    const auto it = m_streams.find(event.stream);
    if (it == m_streams.end())
    {
        return;
    }
    add(it->second, nlohmann::json{{"token", event.text}}.dump());
    if (m_drop_count > 0 && event.index >= m_drop_tokens)
    {
        // An exchange that is dropped closes its connection.
        m_drop_count -= 1;
        it->second.listeners.clear();
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
    const nlohmann::json counts{
        {"prompt", usage.prompt}, {"cached", usage.cached}, {"completion", usage.completion}};
    add(s, nlohmann::json{{"finish", reason}, {"usage", counts}}.dump());
    s.finished = true;
    std::ranges::for_each(s.listeners, [](const auto& listener) { listener->end_stream(); });
    s.listeners.clear();
    m_finished.push_back(id);
    if (m_finished.size() > max_finished)
    {
        m_streams.erase(m_finished.front());
        m_finished.pop_front();
    }
}

void engine_streams::drop_after(std::uint64_t tokens, std::uint32_t count)
{
    m_drop_tokens = tokens;
    m_drop_count = count;
}

void engine_streams::add(stream& s, const std::string& data)
{
    s.events.push_back(format_sse({.id = std::to_string(s.events.size()), .event = {}, .data = data}));
    std::ranges::for_each(s.listeners, [&s](const auto& listener) { listener->write(s.events.back()); });
}

} // namespace masticcourse::standins
