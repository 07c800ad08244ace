/// @file
/// Simulation, in virtual time, of many gateways that follow the tables of one store, whose calls are counted
/// and whose rates are limited as a platform states them.
#pragma once

#include "support/memory_rows.hpp"
#include "support/rated_store.hpp"
#include "support/virtual_time.hpp"

#include "masticcourse/gateway/peer_list.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticcourse::testing
{

/// What is wrong with a gateway for a while.
enum class gateway_fault : std::uint8_t
{
    /// Nothing that it sends or is sent arrives.
    cut_off,
    /// Its process does not run; what arrives is handled when it goes on.
    frozen,
    /// It is gone without a reset, and starts again afterwards.
    dark,
    /// It is gone, connections to it are refused, and it starts again afterwards.
    killed,
    /// What it sends to other gateways arrives late.
    slow,
    /// The store does not answer it.
    without_store,
    /// It is gone without a reset, and a gateway of the same name starts at another address afterwards.
    replaced,
};

class feed_fleet
{
  public:
    /// The tables that all gateways follow besides the list of gateways.
    static constexpr const char* config_table = "op";
    static constexpr const char* target_table = "servers";

    class member;

    feed_fleet(std::size_t gateways, std::size_t failure_domains);
    ~feed_fleet();
    feed_fleet(const feed_fleet&) = delete;
    feed_fleet(feed_fleet&&) = delete;
    feed_fleet& operator=(const feed_fleet&) = delete;
    feed_fleet& operator=(feed_fleet&&) = delete;

    /// Adds a gateway, which starts within 300 ms.
    void add(const std::string& address, const std::string& failure_domain);
    /// The gateways selected by @a share no longer answer; their connections stay silent.
    void freeze(double share);
    /// The gateways selected by @a share are killed and start again after @a downtime.
    void restart(double share, gateway::milliseconds downtime);
    /// Disturbs a gateway for @a span.
    void disturb(const std::string& address, gateway_fault fault, gateway::milliseconds span);
    /// The process of a gateway gets the processor only once in each @a interval, for @a span. It stays in
    /// touch all the while.
    void starve(const std::string& address, gateway::milliseconds interval, gateway::milliseconds span);
    /// @return the addresses of the gateways of a failure domain that are not disturbed
    [[nodiscard]] std::vector<std::string> undisturbed(const std::string& failure_domain) const;
    /// @return those of @a addresses that follow the store
    [[nodiscard]] std::vector<std::string> roots_among(const std::vector<std::string>& addresses) const;

    /// Writes a row of which the fleet remembers when each value was written.
    void publish(const std::string& table);
    /// What gateways know of the rows written by publish().
    struct knowledge
    {
        /// The longest time for which a row has been newer than what a gateway in touch acts on. A gateway is
        /// in touch if it has not been disturbed for three seconds.
        gateway::duration oldest{};
        /// The longest time by which a gateway, disturbed or not, takes its table for newer than it is.
        gateway::duration understated{};
        /// Gateways in touch that act on nothing because their table is out of date.
        std::size_t undecided = 0;
    };
    [[nodiscard]] knowledge knowledge_of(const std::string& table) const;

    /// @return for how long the row written by publish() has been newer than what this gateway, disturbed or
    /// not, knows
    [[nodiscard]] gateway::duration lag_of(const std::string& address, const std::string& table) const;

    /// Behaviour of the store toward all gateways: available, refusing or unresponsive.
    void set_store_mode(store_mode mode);
    /// How long a call that the store does not answer takes to fail: half a second directly, and as much for
    /// each of two peers that do not answer either.
    void set_call_timeout(gateway::milliseconds timeout)
    {
        m_call_timeout = timeout;
    }
    /// The gateways selected by @a share reach the store through peers only, from now on.
    void turn_away(double share);

    [[nodiscard]] std::size_t running() const;
    /// @return the number of running gateways that know the row with this value
    [[nodiscard]] std::size_t knowing(const std::string& table, const std::string& key,
                                      const std::string& value) const;
    /// @return the largest number of gateways known to a running one, itself included, and the smallest
    [[nodiscard]] std::pair<std::size_t, std::size_t> list_sizes() const;
    /// @return the number of gateways that have looked for a way to the store since their start
    [[nodiscard]] std::size_t path_checks() const;
    /// @return the shortest time, over the running gateways that reach the store directly, for which they
    /// have known of no failure of it
    [[nodiscard]] gateway::duration shortest_time_since_failure() const;
    /// @return whether any gateway has ever applied an older row after a newer one
    [[nodiscard]] bool went_back() const
    {
        return m_went_back;
    }
    /// @return the largest number of requests that one gateway has served to others since the last call
    [[nodiscard]] std::size_t take_most_served();

    virtual_time time;
    rated_store store;
    std::size_t messages = 0;

  private:
    friend class member;
    class store_port;

    [[nodiscard]] gateway::duration age_of_knowledge(const member& it, const std::string& table) const;
    [[nodiscard]] bool in_touch(const member& it) const;
    void add(const std::string& address, const std::string& failure_domain, const std::string& node);
    void stop(const std::string& address);
    void relay(member& from, const std::string& to, const std::string& bytes,
               const gateway::relay_callback& on_reply);
    [[nodiscard]] std::vector<member*> choose(double share);

    std::map<std::string, std::unique_ptr<member>> m_members;
    /// Stopped members stay allocated because timers still refer to them.
    std::vector<std::unique_ptr<member>> m_stopped;
    store_mode m_store_mode = store_mode::available;
    gateway::milliseconds m_call_timeout{500};
    bool m_went_back = false;
    /// When the values of published rows were written, by table.
    std::map<std::string, std::vector<gateway::time_point>> m_published;
    /// Addresses of gateways that are gone without a reset.
    std::set<std::string> m_dark;
    std::size_t m_replacements = 0;
    std::minstd_rand m_random{7};
};

} // namespace masticcourse::testing
