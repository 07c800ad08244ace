/// @file
/// The other gateways: who is there, who answers, and who collects the commits of a partition.
#pragma once

#include "masticcourse/gateway/time.hpp"

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

/// Takes a peer's answer, or nothing if it gave none.
using peer_callback = std::function<void(std::optional<std::string>)>;
/// Sends encoded bytes to a peer.
using peer_call = std::function<void(const std::string& address, std::string bytes, peer_callback)>;

struct peer
{
    /// "ip:port"
    std::string address;
    /// Its processor time, in cores: how much it may be given to do for others.
    double cores = 1;
};

class peer_directory
{
  public:
    explicit peer_directory(peer self) : m_self(std::move(self)) {}

    /// Replaces the list; the own entry may be in it.
    void set(std::vector<peer> peers);

    /// How many other gateways there are.
    [[nodiscard]] std::size_t size() const
    {
        return m_others.size();
    }

    /// @return how many gateways have the processor time to do work for others, this one included if it is
    /// one of them; all of them if none has
    [[nodiscard]] std::size_t eligible_gateways() const;
    /// Whether this gateway is one of them.
    [[nodiscard]] bool is_eligible() const;

    /// Paces what every gateway does at one place, so that the load there does not grow with their number.
    /// @param least       the period on a small site
    /// @param per_gateway the part of the period that each gateway gets for itself
    /// @return how often each of them may do it
    [[nodiscard]] milliseconds scaled_interval(milliseconds minimum, milliseconds per_gateway) const;

    /// @param preferred comes first if it is among them
    /// @return other gateways that answered when last asked, in random order, at most @a most
    [[nodiscard]] std::vector<std::string> choose(std::size_t max_count, time_point now,
                                                  std::string_view preferred = {});

    /// Every gateway that knows the same peers names the same one, by weighted rendezvous hashing. They need
    /// not agree: two that write one partition cost a conflict, not more.
    /// @param self_lacks_store this gateway can't reach the store itself: it collects only if nobody else
    /// does
    /// @return the gateway that collects the commits of @a partition, or nothing if it is this one
    [[nodiscard]] std::optional<std::string> collector_of(std::string_view partition, time_point now,
                                                          bool self_store_unreachable = false) const;

    /// The same, whether it reaches the store or not: it remembers what it has written.
    [[nodiscard]] std::optional<std::string> collector_ignoring_store(std::string_view partition,
                                                                      time_point now) const;

    void answered(const std::string& address);
    /// It did not answer: it is left out for a while, longer with each failure in a row.
    void failed(const std::string& address, time_point now);
    /// It is being asked after a pause: until it answers, it is left out for others.
    void start_probe(const std::string& address, time_point now);
    /// It answered that it can't reach the store itself: it is left out for a short while, longer if it has
    /// lacked the store for long.
    void mark_store_unreachable(const std::string& address, time_point now, duration unreachable_for = {});
    /// The store is back for this gateway, and probably for those that lacked it too.
    void clear_store_unreachable();

  private:
    [[nodiscard]] std::size_t gateways_with_min_cores() const;

    struct exclusion
    {
        /// Silences in a row.
        std::uint32_t failures = 0;
        time_point silent_until{};
        time_point store_excluded_until{};
    };

    /// Whether it did not answer lately.
    [[nodiscard]] bool silent(const std::string& address, time_point now) const;
    /// Whether it did not answer lately, or lacked the store.
    [[nodiscard]] bool excluded(const std::string& address, time_point now) const;
    template <typename Predicate>
    [[nodiscard]] std::optional<std::string> highest_ranked(std::string_view partition, Predicate skip,
                                                            bool rank_self_last) const;

    peer m_self;
    std::vector<peer> m_others;
    std::unordered_map<std::string, exclusion> m_exclusions;
    std::minstd_rand m_random{std::random_device{}()};
};

} // namespace masticcourse::gateway
