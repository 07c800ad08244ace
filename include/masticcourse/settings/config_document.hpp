/// @file
/// The versioned configuration that operators patch at run time, as a JSON document:
/// `{"services": {NAME: {...}}, "workspaces": {ID: {...}}, "targets": {NAME: {...}}, "limits": {...}}`.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/model/call.hpp"
#include "masticcourse/settings/settings.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace masticcourse
{

/// @name Content of an accepted document
/// @{

/// `services.NAME`
struct service_config
{
    service_name name;
    call_kind kind = call_kind::model;
    /// Whether a call is idempotent if its request does not say so.
    bool idempotent_default = false;
    std::chrono::milliseconds default_deadline{60'000};
    friend bool operator==(const service_config&, const service_config&) = default;
};

/// `workspaces.ID`
struct workspace_config
{
    workspace_id id;
    token_count max_budget = 300'000;
    service_class priority = service_class::standard;
    friend bool operator==(const workspace_config&, const workspace_config&) = default;
};

/// `targets.NAME`; targets that are not listed accept new work.
struct target_config
{
    process_name name;
    /// The target is draining: it accepts no new work.
    bool leaving = false;
    friend bool operator==(const target_config&, const target_config&) = default;
};

/// `limits`
struct limits_config
{
    std::uint32_t turn_limit = limits_settings{}.turn_limit;
    std::uint32_t repeat_limit = limits_settings{}.repeat_limit;
    friend bool operator==(const limits_config&, const limits_config&) = default;
};

/// A parsed document. The vectors are sorted by name.
struct config_view
{
    std::vector<service_config> services;
    std::vector<workspace_config> workspaces;
    std::vector<target_config> targets;
    limits_config limits;
    friend bool operator==(const config_view&, const config_view&) = default;

    /// @name Lookup by name; returns a null pointer if there is no such element
    /// @{
    [[nodiscard]] const service_config* find_service(const service_name& name) const;
    [[nodiscard]] const workspace_config* find_workspace(const workspace_id& id) const;
    [[nodiscard]] const target_config* find_target(const process_name& name) const;
    /// @}
};
/// @}

/// One error in a document or a patch.
struct config_error
{
    /// JSON pointer (RFC 6901) to the invalid value; empty for the whole document.
    std::string pointer;
    std::string message;
    friend bool operator==(const config_error&, const config_error&) = default;
};

/// A valid document in canonical form: equal content always serializes to the same text.
struct accepted_config
{
    std::string document;
};

/// An accepted document, or all errors in it.
using config_result = std::variant<accepted_config, std::vector<config_error>>;

/// Maximum size of a patch or a document in bytes.
inline constexpr std::size_t max_config_size = std::size_t{256} << 10U;

/// Applies a JSON merge patch (RFC 7396) and validates the resulting document.
[[nodiscard]] config_result apply_merge_patch(const std::string& document, const std::string& patch);

/// Validates a document.
[[nodiscard]] config_result check_config(const std::string& document);

/// @return the content of the document, or nothing if it is invalid
[[nodiscard]] std::optional<config_view> parse_config(const std::string& document);

/// @return the initial document of a new deployment
[[nodiscard]] std::string initial_config(const deployment_settings& settings);

/// @return the table of all members, as included in docs/operators/configuration.md
[[nodiscard]] std::string config_reference();

/// @return all errors on one line, for the detail of a problem
[[nodiscard]] std::string to_string(const std::vector<config_error>& errors);

} // namespace masticcourse
