/// @file
/// A service with a number of slots, gateways with admission control in front of it that see each other's
/// load in a view of some age, and programs of several turns whose callers retry as real ones do.
#pragma once

#include "masticcourse/gateway/scheduling/admission_control.hpp"
#include "support/virtual_time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace masticcourse::testing
{

/// Size of the simulated service and age of the gateways' views.
struct admission_rig_options
{
    std::size_t gateways = 26;
    std::uint32_t slots = 228;
    bool admission = true;
    /// Requests that are sent beyond the slots, as a part of the slots, so that targets have work at hand.
    double allowance = 0.1;
    /// Interval of the exchange; a view is applied @a view_delay after it was taken.
    gateway::milliseconds view_interval{200};
    gateway::milliseconds view_delay{100};
};

/// Programs of one workspace by outcome.
struct program_outcomes
{
    std::uint32_t started = 0;
    std::uint32_t in_time = 0;
    std::uint32_t late = 0;
    std::uint32_t lost = 0;
    /// Programs lost after one of their turns had run.
    std::uint32_t lost_midway = 0;
};

/// Programs that a workspace starts at a mean rate. They run 2 to 6 turns of about 400 ms with tool calls of
/// 100 ms.
struct program_source
{
    std::string workspace;
    double per_second = 1;
    std::uint32_t priority = 0;
};

/// Simulation, in virtual time, of programs, gateways and the service.
class admission_rig
{
  public:
    explicit admission_rig(const admission_rig_options& options);

    /// Starts programs at random times for @a span.
    void offer(const program_source& source, gateway::seconds span);
    /// The gateway's process ends; its callers' turns fail.
    void kill(std::size_t gateway);
    /// The gateway does nothing for this time.
    void freeze(std::size_t gateway, gateway::milliseconds span);

    virtual_time time;
    std::map<std::string, program_outcomes> outcomes;
    /// Requests sent by each gateway.
    std::vector<std::uint32_t> sent;
    /// Greatest number of requests at the service beyond its slots.
    std::uint32_t overshoot = 0;
    /// Requests that reached the service after their caller had left.
    std::uint32_t stale = 0;
    std::vector<gateway::milliseconds> retry_delays;

    [[nodiscard]] std::size_t waiting(std::size_t gateway) const;
    [[nodiscard]] std::size_t running() const
    {
        return m_running;
    }

  private:
    struct program
    {
        program_source source;
        std::vector<gateway::milliseconds> turns;
        gateway::time_point deadline;
        std::size_t next_turn = 0;
        int failures = 0;
        bool retried = false;
    };
    using program_ptr = std::shared_ptr<program>;

    struct attempt
    {
        std::size_t gateway = 0;
        program_ptr owner;
        gateway::time_point caller_leaves;
        bool abandoned = false;
        bool running = false;
    };
    using attempt_ptr = std::shared_ptr<attempt>;

    struct digest
    {
        std::uint32_t in_flight = 0;
        std::size_t waiting = 0;
        gateway::time_point sent_at;
    };

    struct gateway_state
    {
        std::unique_ptr<gateway::admission_control> control;
        std::map<gateway::admission_ticket, attempt_ptr> held;
        std::vector<attempt_ptr> jobs;
        digest last;
        digest others;
        bool dead = false;
        gateway::time_point frozen_until;
    };

    void start_program(const program_source& source);
    void send_turn(const program_ptr& it);
    void receive(const attempt_ptr& it);
    void refused(const program_ptr& it, gateway::milliseconds retry_after);
    void fail_turn(const program_ptr& it);
    void turn_done(const program_ptr& it);
    void submit(const attempt_ptr& it);
    void start(const attempt_ptr& it);
    void finish(const attempt_ptr& it);
    void start_queued();
    void pump(std::size_t gateway);
    void exchange(std::size_t gateway);
    /// Runs an action at a gateway: later if it is frozen, never if it is dead.
    void at(std::size_t gateway, const std::function<void()>& action);
    [[nodiscard]] gateway::service_room room(const gateway_state& it) const;
    [[nodiscard]] gateway::admission_request request_of(const attempt& it) const;
    [[nodiscard]] double uniform(double low, double high);

    admission_rig_options m_options;
    std::vector<gateway_state> m_nodes;
    std::mt19937 m_random;
    std::deque<attempt_ptr> m_queue;
    std::uint32_t m_running = 0;
};

} // namespace masticcourse::testing
