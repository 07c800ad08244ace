/// @file
/// The numbered configuration that operators patch at run time, as a JSON document:
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

/// @name What an accepted document says
/// @{

/// `services.NAME`
struct service_config
{
    service_name name;
    call_kind kind = call_kind::model;
    /// Whether a call that doesn't say so may be run again.
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

/// `targets.NAME`; targets that it doesn't name take work.
struct target_config
{
    process_name name;
    /// Takes no new work.
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

/// A document, read once; the vectors are in order of names.
struct config_view
{
    std::vector<service_config> services;
    std::vector<workspace_config> workspaces;
    std::vector<target_config> targets;
    limits_config limits;
    friend bool operator==(const config_view&, const config_view&) = default;

    /// @name Look-ups by name; a null pointer if there is none
    /// @{
    [[nodiscard]] const service_config* find_service(const service_name& name) const;
    [[nodiscard]] const workspace_config* find_workspace(const workspace_id& id) const;
    [[nodiscard]] const target_config* find_target(const process_name& name) const;
    /// @}
};
/// @}

/// One thing wrong with a document or a patch.
struct config_error
{
    /// Where, as a JSON pointer (RFC 6901); empty for the whole.
    std::string pointer;
    std::string message;
    friend bool operator==(const config_error&, const config_error&) = default;
};

/// A valid document as canonical text: the same content always has the same text.
struct accepted_config
{
    std::string document;
};

/// A document, or all that is wrong with it at once.
using config_result = std::variant<accepted_config, std::vector<config_error>>;

/// Most bytes of a patch or a document.
inline constexpr std::size_t max_config_size = std::size_t{256} << 10U;

/// Applies a JSON merge patch (RFC 7396) and checks the whole outcome.
[[nodiscard]] config_result apply_merge_patch(const std::string& document, const std::string& patch);

/// Checks a whole document.
[[nodiscard]] config_result check_config(const std::string& document);

/// @return the document's content, or nothing if it is invalid
[[nodiscard]] std::optional<config_view> parse_config(const std::string& document);

/// @return the document that a new deployment starts with
[[nodiscard]] std::string initial_config(const deployment_settings& settings);

/// @return the table of all members, as it stands in docs/operators/configuration.md
[[nodiscard]] std::string config_reference();

/// @return all faults in one line, for a problem's detail
[[nodiscard]] std::string to_string(const std::vector<config_error>& errors);

} // namespace masticcourse
