#include "masticcourse/gateway/peer_list.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// Table of gateways: maps a node name to "ip:port" and the CPU allotment in cores.
const std::string peer_table = "gateways";
/// Minimum interval between reads of the peer list, and thus the delay until a new peer is discovered.
constexpr milliseconds min_read_interval{3'000};
/// Every gateway reads the entries of all. The read interval grows by this much per gateway once it exceeds
/// the minimum, which limits all gateways together to 50 reads per second, so that the rows that the store
/// returns grow only linearly with the number of gateways.
constexpr milliseconds read_interval_per_gateway{20};
/// Interval at which a gateway refreshes its entry, and the age at which an entry that was not refreshed
/// expires: a gateway that is gone is removed from the list after two missed refreshes.
constexpr milliseconds announce_interval{10'000};
constexpr milliseconds entry_ttl{25'000};
} // namespace

peer_list::peer_list(row_store& store, peer_directory& peers, std::string node, peer self,
                     delay_function delay, clock_function clock)
    : m_store(store), m_peers(peers), m_node(std::move(node)), m_self(std::move(self)),
      m_delay(std::move(delay)), m_clock(std::move(clock))
{
}

void peer_list::start()
{
    announce();
    read_peers();
}

void peer_list::leave()
{
    m_leaving = true;
    announce();
}

void peer_list::announce()
{
    std::ostringstream entry;
    if (!m_leaving)
    {
        entry << m_self.address << ' ' << m_self.cores;
    }
    const row_transaction transaction{.puts = {{{peer_table, m_node}, entry.str()}}};
    m_store.transact(transaction,
                     [this](const transaction_reply& reply)
                     {
                         const bool done = reply.outcome == store_outcome::done;
                         if (!done || !m_leaving)
                         {
                             m_delay(done ? announce_interval : min_read_interval, [this] { announce(); });
                         }
                     });
}

void peer_list::read_peers()
{
    m_store.query({.table = peer_table},
                  [this](const query_reply& reply)
                  {
                      if (reply.answered)
                      {
                          update_peers(reply.rows);
                      }
                      m_delay(m_peers.scaled_interval(min_read_interval, read_interval_per_gateway),
                              [this] { read_peers(); });
                  });
}

void peer_list::update_peers(const std::vector<stored_row>& rows)
{
    const auto now = m_clock();
    std::vector<peer> peers;
    for (const auto& it : rows)
    {
        auto& seen = m_last_changes[it.name.key];
        if (seen.version != it.version)
        {
            seen = {it.version, now};
        }
        std::istringstream entry{it.value};
        peer peer;
        entry >> peer.address >> peer.cores;
        if (entry && now - seen.at < entry_ttl)
        {
            peers.push_back(std::move(peer));
        }
    }
    m_peers.set(std::move(peers));
}

} // namespace masticcourse::gateway
