/// @file
/// Budgets of one program at several gateways in virtual time.
#pragma once

#include "support/memory_rows.hpp"
#include "support/test_seed.hpp"
#include "support/virtual_time.hpp"

#include "masticcourse/gateway/commit_router.hpp"
#include "masticcourse/gateway/partition.hpp"
#include "masticcourse/gateway/program_spending.hpp"
#include "masticcourse/gateway/turn_store.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace masticcourse::testing
{

/// Sends a message to the gateway with the given address.
using member_call =
    std::function<void(const std::string&, const std::string&, const gateway::collector_callback&)>;

struct gateway_member
{
    static constexpr std::size_t cache_bytes = 1'000'000;
    static constexpr std::size_t row_bytes = 10'000;

    gateway_member(row_table& rows, virtual_time& time, const std::string& address, const member_call& call)
        : store(rows, time.delays()), peers({address, 1}, gateway::derive_seed(test_seed(), address)),
          queue(store, time.delays(), time.clock(), gateway::derive_seed(test_seed(), address)),
          commits(queue, store, peers, call, time.delays(), time.clock()),
          turns(store, commits, cache_bytes, row_bytes),
          spending(store, commits, turns, time.delays(), time.clock())
    {
    }

    memory_store store;
    gateway::peer_directory peers;
    gateway::commit_queue queue;
    gateway::commit_router commits;
    gateway::turn_store turns;
    gateway::program_spending spending;
};

struct spending_world
{
    virtual_time time;
    row_table rows;
    std::vector<std::unique_ptr<gateway_member>> gateways;
    std::vector<std::unique_ptr<gateway_member>> killed;
    std::map<std::string, gateway::reservation_outcome> outcomes;
    /// Of each charge that is durable, the tokens beyond the budget.
    std::map<std::string, token_count> excess_tokens;
    bool collects = false;
    /// A gateway that replies to no messages of others.
    std::optional<std::size_t> frozen;

    /// @param collecting whether commits are sent through collectors
    explicit spending_world(std::size_t count, bool collecting = false) : collects(collecting)
    {
        for (std::size_t n = 0; n < count; ++n)
        {
            gateways.push_back(make(n, count));
        }
    }

    std::unique_ptr<gateway_member> make(std::size_t n, std::size_t count)
    {
        const auto call = [this](const std::string& to, const std::string& bytes,
                                 const gateway::collector_callback& on_reply)
        {
            const auto receiver = std::stoul(to);
            if (receiver == frozen)
            {
                time.delays()(gateway::milliseconds{100},
                              [on_reply] { on_reply({.outcome = gateway::collector_outcome::no_reply}); });
                return;
            }
            time.delays()(gateway::milliseconds{1}, [this, receiver, bytes, on_reply]
                          { gateways[receiver]->commits.collect(bytes, on_reply); });
        };
        auto made = std::make_unique<gateway_member>(rows, time, std::to_string(n), call);
        std::vector<gateway::peer> peers;
        for (std::size_t other = 0; collects && other < count; ++other)
        {
            peers.push_back({std::to_string(other), 1});
        }
        made->peers.set(std::move(peers));
        return made;
    }

    /// Stores a turn with the given number of tokens, as at its end.
    void store_turn(std::size_t at, const std::string& request, token_count tokens)
    {
        gateways[at]->turns.save({request}, {.input = "in", .output = "out", .tokens = tokens},
                                 time.now() + gateway::seconds{3}, [](bool) {});
    }

    /// Replaces a gateway by a new process.
    void restart(std::size_t at)
    {
        // The object stays alive, since pending timers refer to it.
        killed.push_back(std::exchange(gateways[at], make(at, gateways.size())));
    }

    /// @return the program's row in the store
    [[nodiscard]] std::optional<gateway::spending_row> row() const
    {
        const auto reply = rows.read({.table = "spending", .partition = gateway::partition_of("p")});
        return reply.rows.empty() ? std::nullopt : gateway::decode_spending(reply.rows.front().value);
    }

    /// @return the gateway that writes the commits of the program
    [[nodiscard]] std::size_t collector() const
    {
        const auto other = gateways[0]->peers.collector_of(gateway::partition_of("p"), time.now());
        return other ? std::stoul(*other) : 0;
    }

    void reserve(std::size_t at, const std::string& request, token_count tokens, token_count budget,
                 bool first_turn = false, gateway::milliseconds lifetime = gateway::seconds{3})
    {
        gateways[at]->spending.reserve({.program = {"p"},
                                        .request = {request},
                                        .tokens = tokens,
                                        .budget = budget,
                                        .first_turn = first_turn,
                                        .expires = time.now() + lifetime},
                                       [this, request](gateway::reservation_outcome it)
                                       { outcomes[request] = it; });
    }

    void charge(std::size_t at, const std::string& request, token_count tokens, token_count budget)
    {
        gateways[at]->spending.charge(
            {.program = {"p"}, .request = {request}, .tokens = tokens, .budget = budget},
            [this, request](token_count excess) { excess_tokens[request] = excess; });
    }

    [[nodiscard]] bool has(const std::string& request, gateway::reservation_outcome outcome) const
    {
        const auto it = outcomes.find(request);
        return it != outcomes.end() && it->second == outcome;
    }
};

} // namespace masticcourse::testing
