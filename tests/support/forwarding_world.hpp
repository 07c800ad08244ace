/// @file
/// Request forwarding of one gateway, or of several, in virtual time; the test acts as targets and callers.
#pragma once

#include "support/memory_rows.hpp"
#include "support/test_seed.hpp"
#include "support/virtual_time.hpp"

#include "masticcourse/gateway/commit_router.hpp"
#include "masticcourse/gateway/request_forwarding.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::testing
{

/// The response as seen by a caller.
struct caller_view
{
    std::optional<http_response> response;
    std::optional<int> stream_status;
    std::optional<std::uint64_t> stated_length;
    std::function<void(std::size_t)> on_written;
    std::string text;
    bool ended = false;
    /// The exchange was released before the response was complete, which closes the connection.
    bool closed = false;
    std::function<void()> on_closed;
};

/// @return the body of the caller's response
[[nodiscard]] std::string body_of(const caller_view& view);

/// A request as received by a target.
struct upstream_request
{
    http_client_request request;
    http_chunk_callback on_chunk;
    http_reply_callback on_reply;
    bool cancelled = false;
    bool paused = false;
    /// The head of the response has been sent.
    mutable bool begun = false;

    /// @name Response of the target
    /// @{
    void begin(int status, bool marked = true, std::optional<std::uint64_t> length = std::nullopt) const;
    void event(const std::string& data) const;
    /// An event with an id.
    void event(int id, const std::string& data) const;
    void end(int status, bool marked = true, const std::string& body = "");
    void refuse();
    /// Another target instance responds at the address.
    void misdirect();
    void fail(http_failure failure, http_send_report report = {.sends = 1});
    /// @}
};

using upstream_request_ptr = std::shared_ptr<upstream_request>;

/// Minimal protocol with self-describing header names.
class stub_protocol final : public gateway::gateway_protocol
{
  public:
    [[nodiscard]] std::variant<gateway::gateway_request, gateway::refusal>
    decode(http_request request) const override;
    [[nodiscard]] http_client_request encode(const gateway::gateway_request& request, std::string body,
                                             const gateway::target_record& target,
                                             gateway::milliseconds time_left) const override;
    [[nodiscard]] gateway::target_response_head decode(const http_client_reply& reply) const override;
    [[nodiscard]] bool is_response_to(const http_client_reply& reply,
                                      const gateway::request_id& id) const override;
    [[nodiscard]] http_response encode(const gateway::refusal& refusal) const override;
};

/// How a gateway of a site reaches the others, and what it is called.
struct site_member
{
    std::string address = "self";
    std::string incarnation = "1";
    gateway::peer_call call_overdraft;
    gateway::collector_call call_collector;
};

/// Request forwarding of one gateway that shares the store, and the time, with others.
class forwarding_gateway
{
  public:
    forwarding_gateway(virtual_time& site_time, row_table& site_rows, site_member member,
                       gateway::scheduling_options scheduling = {});

    /// A request on one of the routes: "lookup" (idempotent), "order" (non-idempotent), "stream", "turn"
    /// (stored stream), "plan" (resumable stream).
    [[nodiscard]] gateway::gateway_request make_request(const std::string& route,
                                                        const std::string& id) const;
    /// A request of the program "p" on a streaming route.
    [[nodiscard]] gateway::gateway_request
    make_budgeted_request(const std::string& route, const std::string& id, token_count budget = 1'000) const;
    /// A turn of the program "p".
    [[nodiscard]] gateway::gateway_request make_turn_request(const std::string& id,
                                                             const std::string& previous = "",
                                                             token_count budget = 1'000) const;

    std::shared_ptr<caller_view> send(gateway::gateway_request request);
    /// Ends the request that was sent last, as the end of the process does.
    void end_for_shutdown() const;

    /// @return the request sent to a target most recently
    [[nodiscard]] upstream_request_ptr last() const;

    /// Runs a turn from start to end.
    std::shared_ptr<caller_view> complete_turn(const std::string& id, const std::string& previous,
                                               const std::vector<std::string>& events);

    virtual_time& time;
    row_table& rows;
    site_member self;
    gateway::random_seed seed = gateway::derive_seed(test_seed(), self.address + self.incarnation);
    memory_store store{rows, time.delays()};
    gateway::peer_directory peers{{.address = self.address}, seed};
    gateway::commit_queue queue{store, time.delays(), time.clock(), seed};
    gateway::commit_router commits{queue, store, peers, self.call_collector, time.delays(), time.clock()};
    gateway::turn_store turns{store, commits, 1'000'000, 10'000};
    gateway::program_spending spending{store, commits, turns, time.delays(), time.clock()};
    gateway::bucket_ownership buckets = make_ownership(gateway::overdraft_ownership_terms());
    gateway::overdraft overdrafts{buckets, self.call_overdraft, time.clock()};
    gateway::bucket_ownership quota_buckets = make_ownership(gateway::quota_ownership_terms());
    metrics_registry metrics;
    memory_account_ptr memory = std::make_shared<memory_account>();
    memory_shares shares{memory};
    gateway::workspace_quotas quotas{{.max_wait = {}}, quota_buckets, peers,        nullptr,
                                     time.delays(),    time.clock(),  time.clock(), metrics};
    gateway::shutdown_admission shutdown;
    gateway::target_table targets;
    gateway::request_scheduler scheduler;
    gateway::poison_detection poison;
    gateway::poison_exchange suspicions{{.detection = poison,
                                         .peers = peers,
                                         .send = nullptr,
                                         .delay = time.delays(),
                                         .clock = time.clock(),
                                         .self = self.address,
                                         .metrics = metrics}};
    stub_protocol protocol;
    /// @name The tables of targets and of the configuration
    /// @{
    gateway::table_currency currency = gateway::table_currency::current;
    /// Time that a refresh of them takes.
    gateway::milliseconds refresh_time{10};
    std::size_t refreshes = 0;
    /// @}
    /// What a check of a target finds.
    server_state checked_state = server_state::listening;
    std::vector<upstream_request_ptr> sent;
    std::weak_ptr<gateway::request_in_progress> last_request;
    std::vector<gateway::request_outcome> outcomes;
    gateway::config_ptr config;
    gateway::forwarding_services services;

  private:
    [[nodiscard]] gateway::bucket_ownership make_ownership(gateway::ownership_terms terms)
    {
        return {std::move(terms), store,        peers,        {self.address, self.incarnation},
                time.delays(),    time.clock(), time.clock(), seed};
    }
};

/// What the gateways of a site share.
struct site_environment
{
    virtual_time site_time;
    row_table site_rows;
};

/// A site of one gateway.
class forwarding_fixture : private site_environment, public forwarding_gateway
{
  public:
    explicit forwarding_fixture(gateway::scheduling_options scheduling = {})
        : forwarding_gateway(site_time, site_rows, {}, scheduling)
    {
    }
};

} // namespace masticcourse::testing
