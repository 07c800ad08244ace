/// @file
/// Simulation, in virtual time, of gateways that share the load of targets through a collector. Requests
/// begin and end at random; gateways are killed, freeze and are cut off from each other, and messages are
/// lost.
#pragma once

#include "support/virtual_time.hpp"

#include "masticcourse/gateway/scheduling/load_exchange.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticcourse::testing
{

/// Size and load of the simulation.
struct load_fleet_options
{
    std::size_t gateways = 26;
    std::size_t targets = 38;
    /// Requests in flight at one target, on average over time.
    double requests_per_target = 4.5;
    gateway::milliseconds mean_duration{500};
    gateway::milliseconds one_way_delay{1};
    gateway::random_seed seed{1};
};

/// Costs of the exchange and quality of the views over a span of time.
struct load_measurement
{
    /// Of the views, as each gateway states it.
    gateway::milliseconds age_p95{};
    /// Difference between a view's sum and the requests that others have in flight at one target.
    double error_p95 = 0;
    /// Sums that no states of the others within the time that a view may be old add up to.
    std::size_t impossible_sums = 0;
    std::size_t samples = 0;
    /// Digests received by the gateway that received most, per second.
    double collector_messages = 0;
    /// Bytes of digests and summaries per second, over all gateways and divided by their number.
    double bytes_per_gateway = 0;
    /// Shortest time between two digests of one gateway.
    gateway::milliseconds shortest_gap{};
};

/// The simulated gateways and targets, which are named by their index.
class load_fleet
{
  public:
    enum class message_kind : std::uint8_t
    {
        digest,
        summary,
    };

    class member;

    explicit load_fleet(load_fleet_options options);
    ~load_fleet();
    load_fleet(const load_fleet&) = delete;
    load_fleet(load_fleet&&) = delete;
    load_fleet& operator=(const load_fleet&) = delete;
    load_fleet& operator=(load_fleet&&) = delete;

    [[nodiscard]] static std::string address_of(std::size_t n);
    [[nodiscard]] static gateway::target_instance target_of(std::size_t n);

    /// Begins random requests at all gateways, which end at random.
    void start_requests();
    /// No further requests begin or end.
    void pause_requests();
    /// Changes the requests in flight of one gateway at one target.
    void set_in_flight(std::size_t gateway, std::size_t target, std::uint32_t count);
    void set_waiting(std::size_t gateway, std::uint32_t count);

    /// The gateway's process ends. Others still have it in their lists; connections to it are refused.
    void kill(std::size_t gateway);
    void freeze(std::size_t gateway, gateway::milliseconds span);
    /// The gateway replies to others only after this time.
    void slow_down(std::size_t gateway, gateway::milliseconds reply_delay);
    /// Messages between the two gateways are lost from now on.
    void cut(std::size_t one, std::size_t other);

    [[nodiscard]] gateway::load_exchange& exchange(std::size_t gateway);
    [[nodiscard]] gateway::peer_directory& directory(std::size_t gateway);
    [[nodiscard]] metrics_registry& metrics(std::size_t gateway);
    /// @return the gateway that the running gateways select as collector
    [[nodiscard]] std::size_t collector() const;
    [[nodiscard]] gateway::milliseconds interval() const;
    /// @return the requests that running gateways other than this one have in flight at a target
    [[nodiscard]] std::uint32_t in_flight_of_others(std::size_t gateway, std::size_t target) const;
    /// @return the sum in a gateway's view
    [[nodiscard]] std::uint32_t viewed(std::size_t gateway, std::size_t target);
    /// @return the responses at other running gateways that this one has not been told of
    [[nodiscard]] std::int64_t unseen_successes(std::size_t gateway) const;
    /// @return whether the views of all running gateways are fresh and equal the requests in flight
    [[nodiscard]] bool all_views_exact();

    [[nodiscard]] load_measurement measure(gateway::milliseconds span);

    virtual_time time;
    /// Digests sent.
    std::size_t messages = 0;
    /// Decides which messages are lost; none if empty.
    std::function<bool(const std::string& sender, message_kind kind)> loses;
    /// Decides whose digests are refused at once because the connection closes; none if empty.
    std::function<bool(const std::string& sender)> refuses;

  private:
    void call(member& sender, const std::string& to, const std::string& bytes,
              const gateway::peer_callback& on_reply);
    void deliver(member& receiver, const std::string& bytes, const gateway::peer_callback& on_reply);
    [[nodiscard]] bool is_cut(const std::string& a, const std::string& b) const;
    [[nodiscard]] gateway::delay_function delays_for(const member& it);
    void begin_next_request();
    void end_request(std::size_t gateway, std::size_t target);
    [[nodiscard]] gateway::milliseconds random_span(double mean_ms);
    [[nodiscard]] std::size_t random_below(std::size_t n);
    [[nodiscard]] std::size_t index_of(const std::string& address) const;
    /// @return whether a view can have this sum
    [[nodiscard]] bool possible(std::size_t gateway, std::size_t target, std::uint32_t sum) const;

    load_fleet_options m_options;
    std::minstd_rand m_random;
    std::vector<std::unique_ptr<member>> m_members;
    std::map<std::string, std::size_t> m_indices;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::vector<std::uint32_t> m_running;
    bool m_requests_run = false;
    std::size_t m_bytes = 0;
    gateway::milliseconds m_shortest_gap{};
};

} // namespace masticcourse::testing
