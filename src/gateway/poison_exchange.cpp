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
/// Gateways that one subscribes to; one of them may be about to end as well.
constexpr std::size_t subscriptions = 2;
constexpr int max_subscription_tries = 5;
constexpr milliseconds subscription_retry_interval{500};
/// Longer than a gateway takes to be known to all others, or to end.
constexpr seconds subscription_lifetime{30};
/// Bounds what a gateway sends if many others start at once.
constexpr std::size_t max_subscribers = 32;

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

void poison_exchange::subscribe()
{
    subscribe(max_subscription_tries);
}

void poison_exchange::subscribe(int tries_left)
{
    for (const auto& it : m_services.peers.choose(subscriptions, m_services.clock()))
    {
        subscribe_to(it, tries_left);
    }
}

void poison_exchange::subscribe_to(const std::string& gateway, int tries_left)
{
    m_messages.add();
    m_services.send(gateway, encode(suspicion_news{.sender = m_services.self, .wants_all = true}),
                    [this, tries_left, gateway](const std::optional<std::string>& bytes)
                    {
                        if (const auto reply = bytes ? decode_suspicion_reply(*bytes) : std::nullopt)
                        {
                            merge(reply->reports, gateway);
                            return;
                        }
                        m_failed.add();
                        if (tries_left > 1)
                        {
                            m_services.delay(subscription_retry_interval,
                                             [this, tries_left] { subscribe(tries_left - 1); });
                        }
                    });
}

std::vector<std::string> poison_exchange::neighbours(time_point now) const
{
    auto all = m_services.peers.flood_neighbours(now);
    for (const auto& [gateway, until] : m_subscribers)
    {
        if (now < until && std::ranges::find(all, gateway) == all.end())
        {
            all.push_back(gateway);
        }
    }
    return all;
}

void poison_exchange::add_subscriber(const std::string& gateway, time_point now)
{
    std::erase_if(m_subscribers, [now](const auto& it) { return now >= it.second; });
    if (m_subscribers.size() < max_subscribers)
    {
        m_subscribers[gateway] = now + subscription_lifetime;
    }
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
    const auto told = neighbours(m_services.clock());
    const auto telling_state =
        std::make_shared<telling>(telling{.unconfirmed = told.size(), .on_told = std::move(on_told)});
    if (told.empty())
    {
        finish(*telling_state);
        return;
    }
    if (telling_state->on_told)
    {
        m_services.delay(max_telling_time, [telling_state] { finish(*telling_state); });
    }
    for (const auto& it : told)
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
    if (news->wants_all || !m_services.peers.contains(news->sender))
    {
        add_subscriber(news->sender, m_services.clock());
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
    for (const auto& it : neighbours(now))
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
