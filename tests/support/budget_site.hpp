/// @file
/// Several gateways that serve the turns of one program, in virtual time: what its callers get is counted
/// where they read it.
#pragma once

#include "support/forwarding_world.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace masticcourse::testing
{

/// Terms of the program "p", whose turns are resumable streams that are not stored. Each event counts as ten
/// tokens.
struct budget_terms
{
    token_count budget = 310;
    /// Most that one turn generates.
    token_count max_tokens = 100;
};

class budget_site
{
  public:
    budget_site(std::size_t count, unsigned seed, budget_terms given_terms = {});

    /// Starts a turn at a gateway.
    void send(std::size_t at);
    /// Lets each target that answers a turn make up to @a max_events events, and some of them end.
    void run_targets(unsigned max_events);
    /// The caller of some turn leaves.
    void disconnect_a_caller();
    /// Replaces a gateway by a new incarnation of it. Its callers' connections end, and what it had sent may
    /// still arrive.
    void restart(std::size_t at);
    /// Sets the behaviour of the store towards one gateway.
    void set_store(std::size_t at, store_mode mode);
    /// Lets random time pass in which callers, targets, the store and gateways do random things.
    void run_random_step();
    /// Ends all faults, and gives what is on its way time to arrive.
    void settle();

    /// @return the tokens that callers have read, of all turns
    [[nodiscard]] token_count tokens_read() const;
    /// @return the program's row in the store
    [[nodiscard]] gateway::spending_row row() const;
    [[nodiscard]] unsigned random_below(unsigned n);

    budget_terms terms;
    virtual_time time;
    row_table rows;
    std::vector<std::unique_ptr<forwarding_gateway>> gateways;
    /// A gateway that no other one reaches.
    std::optional<std::size_t> unreachable;
    std::size_t turns_sent = 0;

  private:
    struct turn
    {
        std::shared_ptr<caller_view> view;
        std::size_t gateway = 0;
    };

    [[nodiscard]] std::unique_ptr<forwarding_gateway> make_gateway(std::size_t at);
    /// Sends a message from one gateway to another, which may be null if it can't be reached.
    /// @param serve passes the message to the receiver, and its reply on
    template <typename Serve, typename Reply>
    void call_peer(forwarding_gateway* receiver, Serve serve, const std::function<void(Reply)>& on_reply);
    [[nodiscard]] forwarding_gateway* find(const std::string& address) const;
    void run_target(upstream_request& it, unsigned max_events);

    std::size_t m_count;
    /// Whether commits go through collectors.
    bool m_collects;
    std::mt19937 m_random;
    std::vector<turn> m_turns;
    /// Events that each target has made of a turn.
    std::map<const upstream_request*, int> m_events;
    /// Tokens read on connections that have ended.
    token_count m_tokens_of_ended = 0;
    std::size_t m_incarnations = 0;
    /// Timers and calls under way still refer to these.
    std::vector<std::unique_ptr<forwarding_gateway>> m_killed;
};

} // namespace masticcourse::testing
