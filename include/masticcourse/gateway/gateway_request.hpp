/// @file
/// Protocol-independent representation of callers' requests, targets' responses and the gateway's own
/// refusals.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/core/problem.hpp"
#include "masticcourse/gateway/program_spending.hpp"
#include "masticcourse/gateway/target_table.hpp"
#include "masticcourse/gateway/time.hpp"
#include "masticcourse/net/http_client.hpp"
#include "masticcourse/net/http_message.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace masticcourse::gateway
{

/// The program that a request belongs to, as stated by the request. A program is one run of a caller's agent:
/// a chain of turns, each a request to a model that continues the previous one, and tool calls between them.
/// Its turns share a token budget.
struct program_context
{
    program_id program;
    /// Token budget of the whole program; empty on requests that generate no tokens. Independent of whether
    /// turns are stored, which the route determines.
    std::optional<token_count> budget;
    /// Maximum number of tokens that this turn generates.
    token_count max_tokens = 0;
    /// The turn that this one continues.
    std::optional<request_id> previous_turn;
    /// The line of turns that this request belongs to. The main line of a program has the program's id, the
    /// lines of its sub-agents have others.
    std::string session;
    /// Time until the program should be finished; negative if it is late already.
    std::optional<milliseconds> time_left;
};

/// A part of a prompt. Requests whose prompts start with the same parts share the engine's cache of them.
struct prompt_part
{
    std::string id;
    token_count tokens = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// Size of a request to a model engine.
struct generation_request
{
    token_count prompt_tokens = 0;
    /// Maximum number of generated tokens.
    token_count max_output = 0;
    /// The caller's estimate of the generated tokens. The median is right, single estimates may be far off.
    std::optional<token_count> output_hint;
    /// Parts of the prompt in order. The last one belongs to the session and grows from turn to turn.
    std::vector<prompt_part> prompt;
};

/// One request from a caller. A caller's retry is a separate request.
struct gateway_request
{
    /// Unique for each of the caller's attempts.
    request_id id;
    std::string method;
    /// Path and query, as received.
    std::string target;
    std::string host;
    /// The body; its beginning only if there is a `rest`.
    std::string body;
    /// The part of the body that its caller has yet to send; null if the body is whole.
    std::shared_ptr<http_body_source> rest;
    /// Size of the whole body in bytes, if it is known.
    std::optional<std::uint64_t> body_length;
    /// Digest of a body that was passed on without being held whole, once all of it was seen.
    std::optional<std::string> body_digest;
    /// Headers forwarded to the target unchanged.
    std::vector<http_header> headers;
    /// How long the caller waits for the response.
    std::optional<milliseconds> timeout;
    /// Identifies the object that the request concerns, for sticky routes; empty if the request names none.
    std::string affinity_key;
    /// Id of the last event that the caller received of an interrupted stream; the response resumes after it.
    std::optional<std::string> last_event_id;
    std::optional<program_context> program;
    /// Set on requests to model engines.
    std::optional<generation_request> generation;
    /// The caller accepts one version of the target's weights only. A target that has another one responds as
    /// if it were another instance.
    bool expects_version = false;
    /// The caller's credential; empty if it sent none.
    std::string access_key;
    /// Set once the access key has been resolved to a workspace.
    workspace_id workspace;
};

/// Why the gateway refuses a request.
enum class refusal_reason : std::uint8_t
{
    malformed,
    /// No configuration has been read since start-up.
    no_configuration,
    no_route,
    /// The access key belongs to no workspace.
    unknown_key,
    /// The access key is not in the current configuration, which may be outdated.
    key_undecided,
    /// The configuration or the targets may have changed since they were read, and the store did not tell.
    tables_out_of_date,
    /// The workspace has used up its quota.
    over_quota,
    /// No gateway that holds a slice of the workspace's quota is reachable.
    quota_undecided,
    no_such_turn,
    /// The turn goes on from as many turns as a history may have.
    history_too_long,
    /// A stored turn can't resume an interrupted response, whose start may have been sent by another process.
    not_resumable,
    over_budget,
    /// The store that holds turns and budgets is unreachable.
    store_away,
    no_target,
    targets_full,
    /// The target's response is missing, incomplete or invalid.
    target_failed,
    /// Targets have ended under requests with the same content, one after another.
    poison_request,
    deadline_passed,
    /// There is no memory for the request.
    memory_full,
    /// The caller stopped sending the body.
    body_stalled,
    /// There is no processor time for the request.
    processor_busy,
    /// No descriptors are left for further connections to targets.
    connections_full,
    /// The process ends before the request would be done.
    shutting_down,
};

[[nodiscard]] std::string_view to_string(refusal_reason reason);

struct refusal
{
    refusal_reason reason = refusal_reason::malformed;
    ran_state ran = ran_state::no;
    /// Human-readable explanation.
    std::string detail;
    std::optional<milliseconds> retry_after;
};

/// Status and headers of a target's response.
struct target_response_head
{
    int status = 0;
    /// Headers forwarded to the caller unchanged.
    std::vector<http_header> headers;
    /// The target states that it did not execute the request.
    bool not_executed = false;
    /// The addressed target instance is gone and another one uses its address. Implies `not_executed`.
    bool instance_replaced = false;
    /// The response carries the signature by which callers recognise a target's own responses.
    bool authentic = false;
    std::optional<target_load_report> load;

    [[nodiscard]] bool success() const
    {
        constexpr int success_class = 2;
        return status / 100 == success_class;
    }
};

/// Wire format of requests and responses; implemented by the adapter in `platform/`.
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

    /// @param body      request body to send to the target
    /// @param time_left time in which the target must respond
    [[nodiscard]] virtual http_client_request encode(const gateway_request& request, std::string body,
                                                     const target_record& target,
                                                     milliseconds time_left) const = 0;

    [[nodiscard]] virtual target_response_head decode(const http_client_reply& reply) const = 0;

    /// @return whether a response belongs to the request, rather than to an earlier one on the same
    /// connection
    [[nodiscard]] virtual bool is_response_to(const http_client_reply& reply, const request_id& id) const = 0;

    [[nodiscard]] virtual http_response encode(const refusal& refusal) const = 0;
};

} // namespace masticcourse::gateway
