/// @file
/// The table of all settings keys. Parsing, validation and the reference page are driven by it.
#pragma once

#include "text_format.hpp"

#include "masticcourse/settings/settings.hpp"

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>

namespace masticcourse::detail
{

/// The member of @a Row that a key sets. The type of the member determines the type of the key.
template <typename Row>
using member_variant = std::variant<std::string Row::*, bool Row::*, std::uint32_t Row::*, std::size_t Row::*,
                                    token_count Row::*, std::chrono::milliseconds Row::*, process_name Row::*,
                                    region_name Row::*, failure_domain_name Row::*, service_name Row::*,
                                    workspace_id Row::*, call_kind Row::*, service_class Row::*>;

/// The definition of one key of a table of the settings file.
template <typename Row>
struct key_spec
{
    std::string_view key;
    member_variant<Row> member;
    /// If an optional key is omitted, the member keeps its default value.
    bool required = false;
    /// Inclusive range of a number.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /// Format of a string.
    text_format format = text_format::name;
    std::string_view doc;
};

/// The top-level keys of the file.
struct root_settings
{
    std::string customer;
    std::string tokens_file;
    std::string operator_token;
};

inline constexpr std::int64_t max_duration_ms = 3'600'000;
inline constexpr std::int64_t max_tokens = 1'000'000'000;
/// The default limit of the request parsers (input_limits::max_body).
inline constexpr std::int64_t max_body_bytes = 1 << 20;

inline constexpr std::array root_keys{
    key_spec<root_settings>{.key = "customer",
                            .member = &root_settings::customer,
                            .required = true,
                            .doc = "Whose deployment this is."},
    key_spec<root_settings>{.key = "tokens_file",
                            .member = &root_settings::tokens_file,
                            .format = text_format::path,
                            .doc = "The file that holds the tokens, relative to this one."},
    key_spec<root_settings>{.key = "operator_token",
                            .member = &root_settings::operator_token,
                            .format = text_format::secret,
                            .doc = "The operators' token, unless the tokens file gives it."},
};

inline constexpr std::array entry_keys{
    key_spec<entry_settings>{
        .key = "name", .member = &entry_settings::name, .required = true, .doc = "The process's name."},
    key_spec<entry_settings>{
        .key = "region", .member = &entry_settings::region, .required = true, .doc = "Its region."},
    key_spec<entry_settings>{.key = "failure_domain",
                             .member = &entry_settings::failure_domain,
                             .required = true,
                             .doc = "Its failure domain."},
    key_spec<entry_settings>{.key = "http_address",
                             .member = &entry_settings::http_address,
                             .required = true,
                             .format = text_format::address,
                             .doc = "Where callers, operators and the balancer reach it."},
    key_spec<entry_settings>{.key = "peer_address",
                             .member = &entry_settings::peer_address,
                             .required = true,
                             .format = text_format::address,
                             .doc = "Where the system's other processes reach it."},
};

inline constexpr std::array target_keys{
    key_spec<target_settings>{
        .key = "name", .member = &target_settings::name, .required = true, .doc = "The process's name."},
    key_spec<target_settings>{
        .key = "region", .member = &target_settings::region, .required = true, .doc = "Its region."},
    key_spec<target_settings>{.key = "failure_domain",
                              .member = &target_settings::failure_domain,
                              .required = true,
                              .doc = "Its failure domain."},
    key_spec<target_settings>{.key = "service",
                              .member = &target_settings::service,
                              .required = true,
                              .doc = "The service that its backend offers."},
    key_spec<target_settings>{.key = "http_address",
                              .member = &target_settings::http_address,
                              .required = true,
                              .format = text_format::address,
                              .doc = "Where operators reach it: health, metrics, time line."},
    key_spec<target_settings>{.key = "peer_address",
                              .member = &target_settings::peer_address,
                              .required = true,
                              .format = text_format::address,
                              .doc = "Where the system's other processes reach it."},
    key_spec<target_settings>{.key = "backend_address",
                              .member = &target_settings::backend_address,
                              .required = true,
                              .format = text_format::address,
                              .doc = "Where the engine or service beside it takes HTTP."},
    key_spec<target_settings>{.key = "checks_fencing",
                              .member = &target_settings::checks_fencing,
                              .doc = "Whether the backend refuses an order with an old fencing number."},
    key_spec<target_settings>{.key = "max_running",
                              .member = &target_settings::max_running,
                              .minimum = 1,
                              .maximum = 4096,
                              .doc = "Calls that the backend is given at one time."},
    key_spec<target_settings>{.key = "cache_capacity",
                              .member = &target_settings::cache_capacity,
                              .maximum = max_tokens,
                              .doc = "Tokens of prefix cache in the backend; 0 for a plain service."},
    key_spec<target_settings>{.key = "max_queue",
                              .member = &target_settings::max_queue,
                              .minimum = 1,
                              .maximum = 100'000,
                              .doc = "Calls that may wait at this process."},
};

inline constexpr std::array service_keys{
    key_spec<service_settings>{
        .key = "name", .member = &service_settings::name, .required = true, .doc = "The service's name."},
    key_spec<service_settings>{.key = "kind",
                               .member = &service_settings::kind,
                               .required = true,
                               .doc = "A model, or a tool that does one action."},
    key_spec<service_settings>{.key = "reports_load",
                               .member = &service_settings::reports_load,
                               .doc = "Whether its backends report their load."},
    key_spec<service_settings>{.key = "default_deadline_ms",
                               .member = &service_settings::default_deadline,
                               .minimum = 1,
                               .maximum = max_duration_ms,
                               .doc = "The deadline of a call that names none."},
};

inline constexpr std::array workspace_keys{
    key_spec<workspace_settings>{
        .key = "id", .member = &workspace_settings::id, .required = true, .doc = "The workspace's id."},
    key_spec<workspace_settings>{.key = "token",
                                 .member = &workspace_settings::token,
                                 .format = text_format::secret,
                                 .doc = "Its callers' token, unless the tokens file gives it."},
    key_spec<workspace_settings>{.key = "max_budget",
                                 .member = &workspace_settings::max_budget,
                                 .minimum = 1,
                                 .maximum = max_tokens,
                                 .doc = "Most tokens that one of its programs may be given."},
    key_spec<workspace_settings>{.key = "class",
                                 .member = &workspace_settings::priority,
                                 .doc = "The class of its programs, unless they ask for background."},
};

inline constexpr std::array platform_keys{
    key_spec<platform_settings>{.key = "store_address",
                                .member = &platform_settings::store_address,
                                .required = true,
                                .format = text_format::address,
                                .doc = "The platform's table service and object store."},
    key_spec<platform_settings>{.key = "vm_list_address",
                                .member = &platform_settings::vm_list_address,
                                .format = text_format::address,
                                .doc = "The platform's list of VMs; empty if there is none."},
    key_spec<platform_settings>{.key = "store_timeout_ms",
                                .member = &platform_settings::store_timeout,
                                .minimum = 10,
                                .maximum = max_duration_ms,
                                .doc = "How long an answer of the store is waited for."},
};

inline constexpr std::array limits_keys{
    key_spec<limits_settings>{
        .key = "shards",
        .member = &limits_settings::shards,
        .minimum = 1,
        .maximum = 4096,
        .doc = "Shards that programs hash to. Never change it once the store holds programs."},
    key_spec<limits_settings>{.key = "turn_limit",
                              .member = &limits_settings::turn_limit,
                              .minimum = 1,
                              .maximum = 100'000,
                              .doc = "Turns that one program may have."},
    key_spec<limits_settings>{.key = "repeat_limit",
                              .member = &limits_settings::repeat_limit,
                              .minimum = 2,
                              .maximum = 1000,
                              .doc = "Times that a program may make the same call in a row."},
    key_spec<limits_settings>{.key = "traffic_threads",
                              .member = &limits_settings::traffic_threads,
                              .minimum = 1,
                              .maximum = 64,
                              .doc = "Threads that move bytes, beside the control thread."},
    key_spec<limits_settings>{.key = "max_body",
                              .member = &limits_settings::max_body,
                              .minimum = 1024,
                              .maximum = max_body_bytes,
                              .doc = "Bytes of a request's body."},
    key_spec<limits_settings>{.key = "escrow",
                              .member = &limits_settings::escrow,
                              .minimum = 1,
                              .maximum = max_tokens,
                              .doc = "Tokens of budget that a home takes ahead at one time."},
    key_spec<limits_settings>{.key = "heartbeat_period_ms",
                              .member = &limits_settings::heartbeat_period,
                              .minimum = 10,
                              .maximum = max_duration_ms,
                              .doc = "Time between two heartbeats on a connection."},
    key_spec<limits_settings>{.key = "peer_timeout_ms",
                              .member = &limits_settings::peer_timeout,
                              .minimum = 20,
                              .maximum = max_duration_ms,
                              .doc = "Silence after which a connection counts as dead."},
    key_spec<limits_settings>{.key = "lease_ms",
                              .member = &limits_settings::lease,
                              .minimum = 100,
                              .maximum = max_duration_ms,
                              .doc = "How long ownership and engine memory last without renewal."},
    key_spec<limits_settings>{.key = "journal_gap_ms",
                              .member = &limits_settings::journal_gap,
                              .minimum = 1,
                              .maximum = 10'000,
                              .doc = "Shortest time between two appends to a journal."},
    key_spec<limits_settings>{.key = "durability_wait_ms",
                              .member = &limits_settings::durability_wait,
                              .maximum = 60'000,
                              .doc = "Longest that a reply waits for its turn to be durable."},
    key_spec<limits_settings>{.key = "drain_wait_ms",
                              .member = &limits_settings::drain_wait,
                              .minimum = 100,
                              .maximum = max_duration_ms,
                              .doc = "Longest that a graceful shutdown waits for work in progress."},
};

} // namespace masticcourse::detail
