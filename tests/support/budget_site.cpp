#include "support/budget_site.hpp"

#include "masticcourse/gateway/partition.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <numeric>
#include <optional>
#include <utility>

namespace masticcourse::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr gateway::milliseconds peer_latency{1};
constexpr gateway::milliseconds peer_timeout{100};
constexpr token_count tokens_per_event = 10;

token_count tokens_in(const std::string& text)
{
    return tokens_per_event * std::ranges::count(text, 'x');
}

} // namespace

budget_site::budget_site(std::size_t count, unsigned seed, budget_terms given_terms)
    : terms(given_terms), m_count(count), m_collects(seed % 2 == 1), m_random(seed)
{
    for (std::size_t at = 0; at < count; ++at)
    {
        gateways.push_back(make_gateway(at));
    }
    // Until all buckets have holders.
    time.run(20s);
}

std::unique_ptr<forwarding_gateway> budget_site::make_gateway(std::size_t at)
{
    const auto incarnation = std::to_string(++m_incarnations);
    const auto is_alive = [this, at, incarnation]
    { return at < gateways.size() && gateways[at]->self.incarnation == incarnation; };
    const auto call_overdraft = [this, is_alive](const auto& to, const auto& message, const auto& on_reply)
    {
        const auto serve = [message](forwarding_gateway& receiver, const gateway::peer_callback& on_served)
        { on_served(receiver.overdrafts.serve(message)); };
        call_peer(is_alive() ? find(to) : nullptr, serve, on_reply);
    };
    const auto call_collector = [this, is_alive](const auto& to, const auto& changes, const auto& on_reply)
    {
        const auto collect =
            [changes](forwarding_gateway& receiver, const gateway::collector_callback& on_collected)
        { receiver.commits.collect(changes, on_collected); };
        call_peer(is_alive() ? find(to) : nullptr, collect, on_reply);
    };
    auto made = std::make_unique<forwarding_gateway>(time, rows,
                                                     site_member{.address = "g" + std::to_string(at),
                                                                 .incarnation = incarnation,
                                                                 .call_overdraft = call_overdraft,
                                                                 .call_collector = call_collector});
    std::vector<gateway::peer> peers;
    for (std::size_t other = 0; m_collects && other < m_count; ++other)
    {
        peers.push_back({.address = "g" + std::to_string(other)});
    }
    made->peers.set(std::move(peers));
    made->buckets.start();
    return made;
}

template <typename Serve, typename Reply>
void budget_site::call_peer(forwarding_gateway* receiver, Serve serve,
                            const std::function<void(Reply)>& on_reply)
{
    // A message or its reply may take longer than the sender waits; some messages arrive twice.
    const auto latency = [this]
    { return peer_latency + (random_below(16) == 0 ? gateway::milliseconds{random_below(200)} : 0ms); };
    const auto answered = std::make_shared<bool>(false);
    const auto reply_once = [answered, on_reply](const Reply& reply)
    {
        if (!std::exchange(*answered, true))
        {
            on_reply(reply);
        }
    };
    time.delays()(peer_timeout, [reply_once] { reply_once({}); });
    const auto copies = receiver == nullptr ? 0U : 1U + (random_below(16) == 0 ? 1U : 0U);
    for (unsigned n = 0; n < copies; ++n)
    {
        time.delays()(latency(),
                      [this, receiver, serve, latency, reply_once]
                      {
                          serve(*receiver, [this, latency, reply_once](const auto& reply)
                                { time.delays()(latency(), [reply, reply_once] { reply_once(reply); }); });
                      });
    }
}

forwarding_gateway* budget_site::find(const std::string& address) const
{
    for (std::size_t at = 0; at < gateways.size(); ++at)
    {
        if (gateways[at]->self.address == address && at != unreachable)
        {
            return gateways[at].get();
        }
    }
    return nullptr;
}

void budget_site::send(std::size_t at)
{
    auto request =
        gateways[at]->make_budgeted_request("plan", "r" + std::to_string(++turns_sent), terms.budget);
    request.program->max_tokens = terms.max_tokens;
    m_turns.push_back({.view = gateways[at]->send(std::move(request)), .gateway = at});
}

void budget_site::run_target(upstream_request& it, unsigned max_events)
{
    const auto is_running = [&it] { return it.on_reply && !it.cancelled; };
    if (!is_running())
    {
        return;
    }
    if (!it.begun)
    {
        it.begin(200);
    }
    auto& events = m_events[&it];
    const auto most = static_cast<int>(terms.max_tokens / tokens_per_event);
    const auto last = std::min(most, events + static_cast<int>(random_below(max_events + 1)));
    while (events < last && is_running())
    {
        it.event(++events, "x");
    }
    const bool ends = events == most || (events > 0 && random_below(4) == 0);
    if (ends && is_running())
    {
        it.end(200);
    }
}

void budget_site::run_targets(unsigned max_events)
{
    for (const auto& each : gateways)
    {
        // Requests may be sent meanwhile.
        const auto sent = each->sent;
        std::ranges::for_each(sent, [&](const auto& it) { run_target(*it, max_events); });
    }
}

void budget_site::disconnect_a_caller()
{
    if (m_turns.empty())
    {
        return;
    }
    const auto& view = *m_turns[random_below(static_cast<unsigned>(m_turns.size()))].view;
    if (view.on_closed && !view.ended && !view.closed)
    {
        view.on_closed();
    }
}

void budget_site::restart(std::size_t at)
{
    for (const auto& it : m_turns)
    {
        m_tokens_of_ended += it.gateway == at ? tokens_in(it.view->text) : 0;
    }
    std::erase_if(m_turns, [at](const turn& it) { return it.gateway == at; });
    gateways[at]->store.mode = store_mode::unresponsive;
    m_killed.push_back(std::exchange(gateways[at], make_gateway(at)));
}

void budget_site::set_store(std::size_t at, store_mode mode)
{
    auto& store = gateways[at]->store;
    store.mode = mode;
    store.reported_reachable = mode == store_mode::available || random_below(2) == 0;
}

void budget_site::run_random_step()
{
    const auto at = random_below(static_cast<unsigned>(gateways.size()));
    constexpr std::array modes{store_mode::available, store_mode::refusing, store_mode::unresponsive,
                               store_mode::answers_lost, store_mode::answers_late};
    const auto random_mode = [&] { return modes.at(random_below(static_cast<unsigned>(modes.size()))); };
    switch (random_below(12))
    {
    case 0:
    {
        // An outage for all, or its end.
        const auto mode = random_below(2) == 0 ? store_mode::available : random_mode();
        for (std::size_t each = 0; each < gateways.size(); ++each)
        {
            set_store(each, mode);
        }
        break;
    }
    case 1:
    case 2:
        set_store(at, random_below(2) == 0 ? store_mode::available : random_mode());
        break;
    case 3:
        disconnect_a_caller();
        break;
    case 4:
        unreachable = random_below(4) == 0 ? std::optional<std::size_t>{at} : std::nullopt;
        break;
    case 5:
        if (random_below(10) == 0)
        {
            restart(at);
        }
        break;
    default:
        send(at);
        break;
    }
    time.run(gateway::milliseconds{random_below(120)});
    run_targets(4);
}

void budget_site::settle()
{
    unreachable.reset();
    for (std::size_t each = 0; each < gateways.size(); ++each)
    {
        set_store(each, store_mode::available);
    }
    time.run(5s);
}

token_count budget_site::tokens_read() const
{
    return std::accumulate(m_turns.begin(), m_turns.end(), m_tokens_of_ended,
                           [](token_count sum, const turn& it) { return sum + tokens_in(it.view->text); });
}

gateway::spending_row budget_site::row() const
{
    const auto reply = rows.read({.table = "spending", .partition = gateway::partition_of("p")});
    const auto decoded =
        reply.rows.empty() ? std::nullopt : gateway::decode_spending(reply.rows.front().value);
    return decoded.value_or(gateway::spending_row{});
}

unsigned budget_site::random_below(unsigned n)
{
    return static_cast<unsigned>(m_random() % n);
}

} // namespace masticcourse::testing
