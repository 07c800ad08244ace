/// @file
/// The settings of one deployment: one TOML file that every process of it reads at start.
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

/// One entry process: where callers and peers reach it.
struct entry_settings
{
    process_name name;
    region_name region;
    failure_domain_name failure_domain;
    std::string http_address;
    std::string peer_address;
};

/// One target process and the engine or service beside it.
struct target_settings
{
    process_name name;
    region_name region;
    failure_domain_name failure_domain;
    service_name service;
    /// Where operators reach it: `/healthz`, `/readyz`, `/metrics`, `/v1/timeline`.
    std::string http_address;
    std::string peer_address;
    /// Where the engine or service beside this process takes HTTP.
    std::string backend_address;
    /// Whether the backend refuses an order that carries an old fencing number.
    bool checks_fencing = false;
    /// Calls that the backend is given at one time.
    std::uint32_t max_running = 8;
    /// Tokens of prefix cache that the backend holds; 0 for a plain service.
    token_count cache_capacity = 0;
    /// Calls that may wait at this process.
    std::size_t max_queue = 256;
};

/// A service that programs may call; its targets name it.
struct service_settings
{
    service_name name;
    call_kind kind = call_kind::model;
    /// Whether its targets report their load.
    bool reports_load = false;
    std::chrono::milliseconds default_deadline{60'000};
};

/// A workspace whose callers share a token, and what bounds their programs.
struct workspace_settings
{
    workspace_id id;
    std::string token;
    /// Most tokens that one program may be given.
    token_count max_budget = 300'000;
    service_class priority = service_class::standard;
};

/// Where the platform's services are.
struct platform_settings
{
    std::string store_address;
    /// May be empty: then the settings' targets are the only hint.
    std::string vm_list_address;
    std::chrono::milliseconds store_timeout{2'000};
};

/// Periods, bounds and sizes. What the file leaves out has the value given here.
struct limits_settings
{
    /// Shards that programs hash to; never changed once the store holds programs.
    shard_index shards = 64;
    /// Turns that one program may have.
    std::uint32_t turn_limit = 400;
    /// Times that one program may make the same call in a row.
    std::uint32_t repeat_limit = 8;
    /// Threads that move bytes, beside the one control thread.
    std::uint32_t traffic_threads = 2;
    /// Bytes of a request's body.
    std::size_t max_body = std::size_t{1} << 20U;
    /// Tokens of budget that a home takes ahead at one time.
    token_count escrow = 20'000;
    std::chrono::milliseconds heartbeat_period{500};
    /// Silence after which a connection counts as dead.
    std::chrono::milliseconds peer_timeout{2'000};
    /// How long an ownership or a program's engine memory lasts without renewal.
    std::chrono::milliseconds lease{10'000};
    /// Shortest time between two appends to a journal.
    std::chrono::milliseconds journal_gap{25};
    /// Longest that a reply waits for its turn to be durable.
    std::chrono::milliseconds durability_wait{250};
    /// Longest that a graceful shutdown waits for work in progress.
    std::chrono::milliseconds drain_wait{120'000};
};

/// Everything that one settings file says.
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

/// One fault of a settings file.
struct settings_diagnostic
{
    std::string file;
    /// From 1; 0 where the fault has no place, such as a missing file.
    std::uint32_t line = 0;
    /// The key's path, such as `targets[2].peer_address`.
    std::string key;
    std::string message;
};

using settings_result = std::variant<deployment_settings, std::vector<settings_diagnostic>>;

/// Reads a settings file and the tokens file that it names.
/// @return the settings, or all faults at once in order of their place
[[nodiscard]] settings_result read_settings(const std::string& path);

/// Reads settings from text. A tokens file is looked for beside @a file_name.
[[nodiscard]] settings_result parse_settings(const std::string& text, const std::string& file_name);

/// @return the fault as `file:line: key: message`
[[nodiscard]] std::string to_string(const settings_diagnostic& diagnostic);

/// @return the reference of all keys, as it stands in docs/operators/settings.md
[[nodiscard]] std::string settings_reference();

/// @return the entry or target of that name, or a null pointer
[[nodiscard]] const entry_settings* find_entry(const deployment_settings& settings, const process_name& name);
[[nodiscard]] const target_settings* find_target(const deployment_settings& settings,
                                                 const process_name& name);

} // namespace masticcourse
