#include "masticcourse/gateway/peer_list.hpp"

#include <algorithm>
#include <optional>
#include <sstream>
#include <unordered_set>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// Interval at which changes of the list are read, and at which expired entries are looked for.
constexpr milliseconds read_interval{1'000};
constexpr milliseconds expiry_interval{3'000};
/// Delay between the arrival of changes and their application, which costs a sort of the list.
constexpr milliseconds update_delay{20};
/// Interval at which a gateway refreshes its entry, and the age at which an entry that was not refreshed
/// expires: a gateway that is gone is removed from the list after two missed refreshes.
constexpr milliseconds announce_interval{10'000};
constexpr milliseconds entry_ttl{25'000};
/// Delay before a failed refresh is repeated.
constexpr milliseconds announce_retry_delay{3'000};
/// Number of gateways that a starting gateway reads from the store; it gets the others through one of them.
constexpr std::size_t first_peers = 64;
/// A starting gateway that finds none to follow reads again after this delay, at most this often: the others
/// may have started in the same moment, and if all of them followed the list in the store, each would read
/// all of it.
constexpr milliseconds first_read_interval{300};
constexpr int max_first_reads = 4;

/// @return nothing if the row names no gateway
std::optional<peer> to_peer(const stored_row& row)
{
    std::istringstream text{row.value};
    peer it;
    text >> it.address >> it.cores;
    if (!text)
    {
        return std::nullopt;
    }
    text >> std::ws;
    // An entry of a gateway that does not state its failure domain yet ends here.
    std::getline(text, it.domain.value);
    return it;
}

} // namespace

peer_list::peer_list(const feed_context& context, std::string node, peer self)
    : m_context(context), m_node(std::move(node)), m_self(std::move(self)),
      m_table(context, {.name = table_name, .min_interval = read_interval, .partitioned = true},
              {.on_snapshot = [this](const auto& rows) { load(rows); },
               .on_change =
                   [this](const auto& row)
               {
                   apply(row);
                   schedule_update();
               }}),
      m_random(derive_seed(context.seed, m_node).value)
{
}

void peer_list::start(const std::function<void()>& on_first_read)
{
    announce();
    read_first_peers(max_first_reads, on_first_read);
}

void peer_list::leave()
{
    m_leaving = true;
    announce();
}

void peer_list::announce()
{
    std::ostringstream text;
    if (!m_leaving)
    {
        text << m_self.address << ' ' << m_self.cores << ' ' << m_self.domain.value;
    }
    const row_transaction transaction{.partition = m_self.domain.value,
                                      .puts = {{{table_name, m_node}, text.str()}}};
    m_context.store.transact(transaction,
                             [this](const transaction_reply& reply)
                             {
                                 const bool done = reply.outcome == store_outcome::done;
                                 if (!done || !m_leaving)
                                 {
                                     m_context.delay(
                                         jittered(done ? announce_interval : announce_retry_delay),
                                         [this] { announce(); });
                                 }
                             });
}

void peer_list::read_first_peers(int reads_left, const std::function<void()>& on_first_read)
{
    m_context.store.query({.table = table_name, .partition = m_self.domain.value, .limit = first_peers},
                          [this, reads_left, on_first_read](const query_reply& reply)
                          {
                              std::ranges::for_each(reply.rows, [this](const auto& it) { apply(it); });
                              update_peers();
                              if (on_first_read)
                              {
                                  on_first_read();
                              }
                              if (m_context.peers.feed_source(m_context.clock()) || reads_left <= 1)
                              {
                                  m_table.start();
                                  update_periodically();
                                  return;
                              }
                              m_context.delay(first_read_interval,
                                              [this, reads_left] { read_first_peers(reads_left - 1, {}); });
                          });
}

void peer_list::apply(const stored_row& row)
{
    auto gateway = row.removed ? std::nullopt : to_peer(row);
    if (!gateway)
    {
        m_entries.erase(row.name.key);
        return;
    }
    auto& known = m_entries[row.name.key];
    if (known.version != row.version)
    {
        known = {std::move(*gateway), row.version, m_context.clock()};
    }
}

void peer_list::load(const std::vector<stored_row>& rows)
{
    std::unordered_set<std::string> present;
    for (const auto& it : rows)
    {
        present.insert(it.name.key);
        apply(it);
    }
    std::erase_if(m_entries, [&present](const auto& it) { return !present.contains(it.first); });
    update_peers();
}

void peer_list::schedule_update()
{
    if (!std::exchange(m_update_scheduled, true))
    {
        m_context.delay(update_delay, [this] { update_peers(); });
    }
}

void peer_list::update_peers()
{
    m_update_scheduled = false;
    m_context.peers.set(current_peers());
}

std::vector<peer> peer_list::current_peers() const
{
    const auto now = m_context.clock();
    std::vector<peer> peers;
    for (const auto& [node, it] : m_entries)
    {
        // An entry of this VM with another address is an earlier process's.
        if (node != m_node && now - it.seen_at < entry_ttl)
        {
            peers.push_back(it.gateway);
        }
    }
    // A VM that was renamed is listed under both names for a while.
    std::ranges::sort(peers, {}, &peer::address);
    const auto repeated = std::ranges::unique(peers, {}, &peer::address);
    peers.erase(repeated.begin(), repeated.end());
    return peers;
}

void peer_list::update_periodically()
{
    update_peers();
    m_context.delay(expiry_interval, [this] { update_periodically(); });
}

milliseconds peer_list::jittered(milliseconds interval)
{
    // All gateways of a site may have started, or lost the store, in the same moment.
    return milliseconds{std::uniform_int_distribution<milliseconds::rep>{interval.count() * 4 / 5,
                                                                         interval.count()}(m_random)};
}

} // namespace masticcourse::gateway
