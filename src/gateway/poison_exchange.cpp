#include "masticcourse/gateway/poison_exchange.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// How long the answer to a caller may wait for the neighbours. They confirm within a few milliseconds; one
/// that does not must not hold the answer up.
constexpr milliseconds max_telling_time{50};
/// How often, and at which interval, a gateway that has started asks for what the others suspect.
constexpr int max_fetches = 5;
constexpr milliseconds fetch_retry_interval{500};

} // namespace

poison_exchange::poison_exchange(dependencies services)
    : m_services(std::move(services)),
      m_messages(m_services.metrics.get_counter("masticcourse_poison_messages_total",
                                                "Messages about suspected requests sent to other gateways.")),
      m_failed(m_services.metrics.get_counter("masticcourse_poison_messages_failed_total",
                                              "Messages about suspected requests without a valid reply.")),
      m_quarantined(m_services.metrics.get_gauge("masticcourse_poison_quarantined",
                                                 "Requests that are refused because targets ended under "
                                                 "them."))
{
}

void poison_exchange::fetch()
{
    fetch_from(max_fetches);
}

void poison_exchange::fetch_from(int tries_left)
{
    const auto now = m_services.clock();
    const auto chosen = m_services.peers.choose(1, now);
    if (chosen.empty() || tries_left == 0)
    {
        return;
    }
    m_messages.add();
    m_services.send(chosen.front(), encode(suspicion_news{.sender = m_services.self, .wants_all = true}),
                    [this, tries_left, from = chosen.front()](const std::optional<std::string>& bytes)
                    {
                        if (const auto reply = bytes ? decode_suspicion_reply(*bytes) : std::nullopt)
                        {
                            merge(reply->reports, from);
                            return;
                        }
                        m_failed.add();
                        m_services.delay(fetch_retry_interval,
                                         [this, tries_left] { fetch_from(tries_left - 1); });
                    });
}

void poison_exchange::finish(telling& it)
{
    if (const auto on_told = std::exchange(it.on_told, nullptr))
    {
        on_told();
    }
}

void poison_exchange::tell(const request_fingerprint& request, std::function<void()> on_told)
{
    on_change();
    const auto neighbours = m_services.peers.flood_neighbours(m_services.clock());
    const auto telling_state =
        std::make_shared<telling>(telling{.unconfirmed = neighbours.size(), .on_told = std::move(on_told)});
    if (neighbours.empty())
    {
        finish(*telling_state);
        return;
    }
    if (telling_state->on_told)
    {
        m_services.delay(max_telling_time, [telling_state] { finish(*telling_state); });
    }
    for (const auto& it : neighbours)
    {
        auto& box = m_outboxes[it];
        box.waiting.insert(request);
        box.tellings.push_back(telling_state);
        send(it);
    }
}

void poison_exchange::send(const std::string& neighbour)
{
    auto& box = m_outboxes[neighbour];
    if (box.sending || box.waiting.empty())
    {
        return;
    }
    const auto now = m_services.clock();
    suspicion_news news{.sender = m_services.self};
    while (!box.waiting.empty() && news.reports.size() < max_suspicion_reports)
    {
        if (const auto report = m_services.detection.report(*box.waiting.begin(), now))
        {
            news.reports.push_back(*report);
        }
        box.waiting.erase(box.waiting.begin());
    }
    box.sending = true;
    m_messages.add();
    // Those that are told with a later message are confirmed early if there are more than fit in this one.
    m_services.send(neighbour, encode(news),
                    [this, neighbour, confirmed = std::exchange(box.tellings, {})](
                        const std::optional<std::string>& bytes) { on_reply(neighbour, confirmed, bytes); });
}

void poison_exchange::on_reply(const std::string& neighbour, const std::vector<telling_ptr>& confirmed,
                               const std::optional<std::string>& bytes)
{
    m_outboxes[neighbour].sending = false;
    const auto reply = bytes ? decode_suspicion_reply(*bytes) : std::nullopt;
    if (reply)
    {
        merge(reply->reports, neighbour);
    }
    else
    {
        m_failed.add();
    }
    for (const auto& it : confirmed)
    {
        if (--it->unconfirmed == 0)
        {
            finish(*it);
        }
    }
    if (m_outboxes[neighbour].waiting.empty())
    {
        m_outboxes.erase(neighbour);
        return;
    }
    send(neighbour);
}

std::optional<std::string> poison_exchange::serve(const std::string& bytes)
{
    const auto news = decode_suspicion_news(bytes);
    if (!news)
    {
        return std::nullopt;
    }
    suspicion_reply reply{.reports = newer_than(news->reports)};
    if (news->wants_all)
    {
        reply.reports = m_services.detection.reports(max_suspicion_reports, m_services.clock());
    }
    merge(news->reports, news->sender);
    return encode(reply);
}

std::vector<suspicion_report> poison_exchange::newer_than(const std::vector<suspicion_report>& news) const
{
    const auto now = m_services.clock();
    std::vector<suspicion_report> newer;
    for (const auto& it : news)
    {
        const auto own = m_services.detection.report(it.request, now);
        if (own && own->state > it.state)
        {
            newer.push_back(*own);
        }
    }
    return newer;
}

void poison_exchange::merge(const std::vector<suspicion_report>& reports, const std::string& sender)
{
    const auto now = m_services.clock();
    std::vector<request_fingerprint> learned;
    for (const auto& it : reports)
    {
        if (m_services.detection.merge(it, now))
        {
            learned.push_back(it.request);
        }
    }
    if (learned.empty())
    {
        return;
    }
    on_change();
    for (const auto& it : m_services.peers.flood_neighbours(now))
    {
        if (it != sender)
        {
            m_outboxes[it].waiting.insert(learned.begin(), learned.end());
            send(it);
        }
    }
}

void poison_exchange::on_change()
{
    m_quarantined.set(static_cast<std::int64_t>(m_services.detection.quarantined(m_services.clock())));
}

} // namespace masticcourse::gateway
