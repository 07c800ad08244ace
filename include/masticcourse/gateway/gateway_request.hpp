/// @file
/// What a caller asks of the gateway, what a target answers, and what the gateway answers by itself, apart
/// from how the wire spells it.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/core/problem.hpp"
#include "masticcourse/gateway/program_spending.hpp"
#include "masticcourse/gateway/target_table.hpp"
#include "masticcourse/gateway/time.hpp"
#include "masticcourse/net/http_client.hpp"
#include "masticcourse/net/http_message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace masticcourse::gateway
{

/// What a request says of the program that it belongs to.
struct program_context
{
    program_id program;
    /// The tokens that all turns of the program may generate; empty on requests that generate none. Whether
    /// turns are kept is another matter: it follows from the route.
    std::optional<token_count> budget;
    /// The most tokens that this turn generates.
    token_count max_tokens = 0;
    /// The turn that it goes on from.
    std::optional<request_id> previous_turn;
};

/// One attempt of a caller.
struct gateway_request
{
    /// New with each attempt.
    request_id id;
    std::string method;
    /// Path and query, as they came.
    std::string target;
    std::string host;
    std::string body;
    /// Those that go on to the target as they came.
    std::vector<http_header> headers;
    /// How long the caller waits.
    std::optional<milliseconds> timeout;
    /// Names the object that the request is about; empty if none is named.
    std::string affinity_key;
    /// The last event that the caller has of a stream that broke off; the answer goes on behind it.
    std::optional<std::string> last_event_id;
    std::optional<program_context> program;
    /// What the caller shows to be let in; empty if it shows nothing.
    std::string access_key;
    /// Set once the key is known to be a workspace's.
    workspace_id workspace;
};

/// Why the gateway answers by itself.
enum class refusal_reason : std::uint8_t
{
    malformed,
    /// No configuration has been read since the start.
    no_configuration,
    no_route,
    /// The key opens no workspace.
    unknown_key,
    /// The key is not known, and whether the configuration is the newest one is not known either.
    key_undecided,
    /// The workspace has sent as much as its quota allows.
    over_quota,
    /// No gateway that hands out the workspace's quota can be asked.
    quota_undecided,
    no_such_turn,
    /// A turn that is kept can't go on from a broken answer that another process handed out.
    not_resumable,
    over_budget,
    /// The store that keeps turns and budgets can't be reached.
    store_away,
    no_target,
    targets_full,
    /// The target's answer is missing, broken or none.
    target_failed,
    deadline_passed,
};

[[nodiscard]] std::string_view to_string(refusal_reason reason);

struct refusal
{
    refusal_reason reason = refusal_reason::malformed;
    ran_state ran = ran_state::no;
    /// For people.
    std::string detail;
    std::optional<milliseconds> retry_after;
};

/// The head of a target's answer.
struct target_response_head
{
    int status = 0;
    /// Those that go on to the caller as they came.
    std::vector<http_header> headers;
    /// The target states that it did not run the request.
    bool not_executed = false;
    /// The life of the target that was meant has ended: another one has its address. Implies `not_run`.
    bool instance_replaced = false;
    /// The answer bears the mark by which callers know a target's own.
    bool authentic = false;
    std::optional<target_load_report> load;

    [[nodiscard]] bool success() const
    {
        constexpr int success_class = 2;
        return status / 100 == success_class;
    }
};

/// How requests and answers are spelled. The adapter in `platform/` knows.
class gateway_protocol
{
  public:
    gateway_protocol() = default;
    gateway_protocol(const gateway_protocol&) = delete;
    gateway_protocol(gateway_protocol&&) = delete;
    gateway_protocol& operator=(const gateway_protocol&) = delete;
    gateway_protocol& operator=(gateway_protocol&&) = delete;
    virtual ~gateway_protocol() = default;

    [[nodiscard]] virtual std::variant<gateway_request, refusal> decode(http_request request) const = 0;

    /// @param body      what the target is to read
    /// @param time_left how long the target may take
    [[nodiscard]] virtual http_client_request encode(const gateway_request& request, std::string body,
                                                     const target_record& target,
                                                     milliseconds time_left) const = 0;

    [[nodiscard]] virtual target_response_head decode(const http_client_reply& reply) const = 0;

    /// @return whether an answer belongs to the request, and not to one before on the same connection
    [[nodiscard]] virtual bool is_response_to(const http_client_reply& reply, const request_id& id) const = 0;

    [[nodiscard]] virtual http_response encode(const refusal& refusal) const = 0;
};

} // namespace masticcourse::gateway
