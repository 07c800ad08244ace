/// @file
/// Directory of the other gateways: which ones exist, which respond, and which one collects the commits of a
/// partition.
#pragma once

#include "masticcourse/gateway/feed/feed_tree.hpp"
#include "masticcourse/gateway/peer.hpp"
#include "masticcourse/gateway/random.hpp"
#include "masticcourse/gateway/time.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

/// Receives a peer's reply, or nothing if there was none.
using peer_callback = std::function<void(std::optional<std::string>)>;
/// Sends an encoded message to a peer.
using peer_call = std::function<void(const std::string& address, std::string bytes, peer_callback)>;

class peer_directory
{
  public:
    peer_directory(peer self, random_seed seed)
        : m_self(std::move(self)), m_feed_tree(m_self), m_random(seed.value)
    {
    }

    /// Replaces the list of peers; the entry of this gateway is ignored.
    void set(std::vector<peer> peers);

    [[nodiscard]] const std::string& self_address() const
    {
        return m_self.address;
    }

    /// @return whether another gateway is in the list
    [[nodiscard]] bool contains(const std::string& address) const
    {
        return std::ranges::find(m_others, address, &peer::address) != m_others.end();
    }

    /// @return the number of other gateways
    [[nodiscard]] std::size_t size() const
    {
        return m_others.size();
    }

    /// @return the number of gateways, possibly including this one, that have enough CPU to do work for
    /// others; the number of all gateways if none has
    [[nodiscard]] std::size_t eligible_gateways() const;
    /// @return whether this gateway is counted by eligible_gateways()
    [[nodiscard]] bool is_eligible() const;

    /// Scales the interval of a periodic operation that all gateways perform on one shared resource, so that
    /// its load does not grow with their number.
    /// @param minimum     the interval at small sites
    /// @param per_gateway interval per gateway, multiplied by their number
    /// @return the interval at which each gateway may perform the operation
    [[nodiscard]] milliseconds scaled_interval(milliseconds minimum,
                                               std::chrono::microseconds per_gateway) const;

    /// @param preferred address that comes first if it is among the chosen ones
    /// @return at most @a max_count other gateways that are not excluded, in random order
    [[nodiscard]] std::vector<std::string> choose(std::size_t max_count, time_point now,
                                                  std::string_view preferred = {});

    /// Selects the gateways that this one tells what all have to learn. If each gateway passes on what is new
    /// to it, news reach all of them: the next ones in the order of their addresses, and further ones at
    /// doubling distances, so that the number of hops grows with the logarithm of the number of gateways.
    /// @return responsive gateways, in the order of their distance
    [[nodiscard]] std::vector<std::string> flood_neighbours(time_point now) const;

    /// Selects the collector by weighted rendezvous hashing, so that gateways with the same view of their
    /// peers select the same one. Agreement is not required: two writers of a partition only cause conflicts.
    /// @param self_store_unreachable this gateway cannot reach the store directly, so it collects only if no
    /// other gateway can
    /// @return the gateway that collects the commits of @a partition, or nothing if it is this one
    [[nodiscard]] std::optional<std::string> collector_of(std::string_view partition, time_point now,
                                                          bool self_store_unreachable = false) const;

    /// Like collector_of(), but regardless of whether the collector can reach the store, since it can still
    /// reply from its cache of written rows.
    [[nodiscard]] std::optional<std::string> collector_ignoring_store(std::string_view partition,
                                                                      time_point now) const;

    /// @return the gateway through which this one follows tables; nothing if it follows them in the store
    [[nodiscard]] std::optional<std::string> feed_source(time_point now) const;

    /// @return the number of gateways between this one and the store if none has failed; 0 for a root
    [[nodiscard]] std::size_t feed_depth() const
    {
        return m_feed_tree.depth();
    }

    /// @return the number of gateways that this one may follow, responsive or not; 0 if it is a root
    [[nodiscard]] std::size_t feed_sources() const
    {
        return m_feed_tree.sources().size();
    }

    /// Records that a peer did its work: it responds and reaches the store.
    void answered(const std::string& address);
    /// Records that a peer responded, which says nothing about whether it reaches the store.
    void responded(const std::string& address);
    /// Records that a peer did not respond. It is excluded for a time that grows with consecutive failures.
    void failed(const std::string& address, time_point now);
    /// Called when a request is sent to a peer. If the peer failed before and has not responded since, it is
    /// excluded from further requests until it responds or the probe times out.
    void start_probe(const std::string& address, time_point now);
    /// Records that a peer replied that it cannot reach the store directly. It is excluded for a short time,
    /// or for longer if it has been unable to reach the store for long.
    void mark_store_unreachable(const std::string& address, time_point now, duration unreachable_for = {});
    /// Called when this gateway reaches the store again. Lifts all exclusions for an unreachable store, since
    /// the other gateways have probably recovered too.
    void clear_store_unreachable();

  private:
    [[nodiscard]] std::size_t gateways_with_min_cores() const;

    struct exclusion
    {
        /// Consecutive requests without a response.
        std::uint32_t failures = 0;
        time_point unresponsive_until{};
        time_point store_excluded_until{};
    };

    /// @return whether the peer is excluded because it did not respond
    [[nodiscard]] bool unresponsive(const std::string& address, time_point now) const;
    /// @return whether the peer is excluded because it did not respond or could not reach the store
    [[nodiscard]] bool excluded(const std::string& address, time_point now) const;
    template <typename Predicate>
    [[nodiscard]] std::optional<std::string> highest_ranked(std::string_view partition, Predicate skip,
                                                            bool rank_self_last) const;

    peer m_self;
    std::vector<peer> m_others;
    feed_tree m_feed_tree;
    std::unordered_map<std::string, exclusion> m_exclusions;
    std::minstd_rand m_random;
};

} // namespace masticcourse::gateway
