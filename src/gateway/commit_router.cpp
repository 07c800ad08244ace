#include "masticcourse/gateway/commit_router.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// Messages to one collector under way: enough that a change seldom waits for an earlier one's transaction,
/// few enough that a busy gateway's changes share messages.
constexpr int most_under_way = 4;

/// The results of one message's changes as they come in.
struct collection
{
    std::vector<change_result> results;
    std::size_t missing = 0;
};

} // namespace

commit_router::commit_router(commit_sink& own, peer_directory& peers, collector_call call,
                             clock_function clock)
    : m_own(own), m_peers(peers), m_call(std::move(call)), m_clock(std::move(clock))
{
}

std::size_t commit_router::pending() const
{
    return m_forwarded + m_own.pending();
}

void commit_router::submit(const std::string& partition, row_change change, change_callback on_result)
{
    const auto collector = m_peers.collector_of(partition, m_clock());
    if (!collector)
    {
        m_own.submit(partition, std::move(change), std::move(on_result));
        return;
    }
    ++m_forwarded;
    m_outboxes[*collector].waiting.push_back({{partition, std::move(change)}, std::move(on_result)});
    send(*collector);
}

void commit_router::send(const std::string& collector)
{
    auto& box = m_outboxes[collector];
    if (box.under_way >= most_under_way || box.waiting.empty())
    {
        return;
    }
    ++box.under_way;
    auto sent = std::make_shared<item_list>(std::exchange(box.waiting, {}));
    std::vector<routed_change> changes;
    std::ranges::transform(*sent, std::back_inserter(changes), &item::change);
    m_call(collector, encode_changes(changes, m_clock()),
           [this, collector, sent](const std::optional<std::string>& answer)
           { on_answer(collector, std::move(*sent), answer); });
}

void commit_router::on_answer(const std::string& collector, item_list sent,
                              const std::optional<std::string>& answer)
{
    --m_outboxes[collector].under_way;
    m_forwarded -= sent.size();
    const auto results = answer ? decode_results(*answer) : std::nullopt;
    if (results && results->size() == sent.size())
    {
        m_peers.answered(collector);
        for (std::size_t i = 0; i < sent.size(); ++i)
        {
            sent[i].on_result((*results)[i]);
        }
    }
    else
    {
        // What the collector did is not known. Written once more, a change does no harm: it holds under its
        // condition, or may be written twice.
        m_peers.failed(collector, m_clock());
        log_event(event_id::collector_failed, {{"collector", collector},
                                               {"changes", std::to_string(sent.size())},
                                               {"answer", answer ? "unreadable" : "none"}});
        for (auto& it : sent)
        {
            m_own.submit(it.change.partition, std::move(it.change.change), std::move(it.on_result));
        }
        reroute(collector);
    }
    send(collector);
}

void commit_router::reroute(const std::string& collector)
{
    for (auto& it : std::exchange(m_outboxes[collector].waiting, {}))
    {
        --m_forwarded;
        submit(it.change.partition, std::move(it.change.change), std::move(it.on_result));
    }
}

void commit_router::collect(const std::string& bytes, std::function<void(std::optional<std::string>)> on_done)
{
    auto changes = decode_changes(bytes, m_clock());
    if (!changes || changes->empty())
    {
        on_done(std::nullopt);
        return;
    }
    auto collected = std::make_shared<collection>();
    collected->results.resize(changes->size());
    collected->missing = changes->size();
    for (std::size_t i = 0; i < changes->size(); ++i)
    {
        auto& it = (*changes)[i];
        m_own.submit(it.partition, std::move(it.change),
                     [collected, i, on_done](const change_result& result)
                     {
                         collected->results[i] = result;
                         if (--collected->missing == 0)
                         {
                             on_done(encode_results(collected->results));
                         }
                     });
    }
}

} // namespace masticcourse::gateway
