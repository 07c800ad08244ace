/// @file
/// The settings of a deployment: one TOML file that all its processes read at start.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/model/call.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace masticcourse
{

/// One entry process and the addresses for its callers and peers.
struct entry_settings
{
    process_name name;
    region_name region;
    failure_domain_name failure_domain;
    std::string http_address;
    std::string peer_address;
};

/// One target process and the backend (engine or service) that it fronts.
struct target_settings
{
    process_name name;
    region_name region;
    failure_domain_name failure_domain;
    service_name service;
    /// Address for operators: `/healthz`, `/readyz`, `/metrics`, `/v1/timeline`.
    std::string http_address;
    std::string peer_address;
    /// HTTP address of the backend.
    std::string backend_address;
    /// Whether the backend rejects requests with a stale fencing token.
    bool checks_fencing = false;
    /// Maximum number of concurrent calls at the backend.
    std::uint32_t max_running = 8;
    /// Capacity of the backend's prefix cache in tokens; 0 for a plain service.
    token_count cache_capacity = 0;
    /// Maximum number of calls queued at this process.
    std::size_t max_queue = 256;
};

/// A service that programs may call. Targets refer to it by name.
struct service_settings
{
    service_name name;
    call_kind kind = call_kind::model;
    /// Whether its backends report their load.
    bool reports_load = false;
    std::chrono::milliseconds default_deadline{60'000};
};

/// A workspace, the token that its callers share and the limits of their programs.
struct workspace_settings
{
    workspace_id id;
    std::string token;
    /// Maximum token budget of one program.
    token_count max_budget = 300'000;
    service_class priority = service_class::standard;
};

/// Addresses of the platform's services.
struct platform_settings
{
    std::string store_address;
    /// May be empty; then only the processes listed in the settings are known.
    std::string vm_list_address;
    std::chrono::milliseconds store_timeout{2'000};
};

/// Intervals, limits and sizes. A key that the file omits keeps the default value given here.
struct limits_settings
{
    /// Number of shards that programs hash to. Must not change once the store holds programs.
    shard_index shards = 64;
    /// Maximum number of turns of one program.
    std::uint32_t turn_limit = 400;
    /// Maximum number of consecutive identical calls of one program.
    std::uint32_t repeat_limit = 8;
    /// Number of I/O threads, in addition to the control thread.
    std::uint32_t traffic_threads = 2;
    /// Maximum size of a request body in bytes.
    std::size_t max_body = std::size_t{1} << 20U;
    /// Tokens of budget that the owner of a program reserves in advance at one time.
    token_count escrow = 20'000;
    std::chrono::milliseconds heartbeat_period{500};
    /// Time without traffic after which a connection is considered dead.
    std::chrono::milliseconds peer_timeout{2'000};
    /// Lease of a shard's ownership and of a program's engine memory; both expire unless renewed.
    std::chrono::milliseconds lease{10'000};
    /// Minimum interval between two appends to a journal.
    std::chrono::milliseconds journal_gap{25};
    /// Maximum time that a reply waits for its turn to become durable.
    std::chrono::milliseconds durability_wait{250};
    /// Maximum time that a graceful shutdown waits for work in progress.
    std::chrono::milliseconds drain_wait{120'000};
};

/// The content of a settings file.
struct deployment_settings
{
    std::string customer;
    std::vector<entry_settings> entries;
    std::vector<target_settings> targets;
    std::vector<service_settings> services;
    std::vector<workspace_settings> workspaces;
    platform_settings platform;
    limits_settings limits;
    std::string operator_token;
};

/// One error in a settings file or a tokens file.
struct settings_diagnostic
{
    std::string file;
    /// Line number, starting at 1; 0 if the error has no position, such as a missing file.
    std::uint32_t line = 0;
    /// Path of the key, such as `targets[2].peer_address`.
    std::string key;
    std::string message;
};

using settings_result = std::variant<deployment_settings, std::vector<settings_diagnostic>>;

/// Reads a settings file and the tokens file that it refers to.
/// @return the settings, or all errors in order of their position
[[nodiscard]] settings_result read_settings(const std::string& path);

/// Parses settings from text. The path of a tokens file is relative to the directory of @a file_name.
[[nodiscard]] settings_result parse_settings(const std::string& text, const std::string& file_name);

/// @return the diagnostic as `file:line: key: message`
[[nodiscard]] std::string to_string(const settings_diagnostic& diagnostic);

/// @return the reference of all keys, as included in docs/operators/settings.md
[[nodiscard]] std::string settings_reference();

/// @return the entry or target named @a name, or a null pointer
[[nodiscard]] const entry_settings* find_entry(const deployment_settings& settings, const process_name& name);
[[nodiscard]] const target_settings* find_target(const deployment_settings& settings,
                                                 const process_name& name);

} // namespace masticcourse
