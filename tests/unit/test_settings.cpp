// Tests of settings: the committed deployments, and each kind of error with its line and key.
#include "masticcourse/settings/address.hpp"
#include "masticcourse/settings/settings.hpp"
#include "masticcourse/settings/token.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>

using namespace masticcourse;

namespace
{

const std::string valid_text = R"(customer = "demo"
operator_token = "operator-token-16"
[platform]
store_address = "127.0.0.1:21901"
[[services]]
name = "llm"
kind = "model"
[[workspaces]]
id = "w"
token = "workspace-token-16"
[[entries]]
name = "entry-1"
region = "r"
failure_domain = "d"
http_address = "127.0.0.1:21001"
peer_address = "127.0.0.1:21002"
[[targets]]
name = "llm-1"
region = "r"
failure_domain = "d"
service = "llm"
http_address = "127.0.0.1:21301"
peer_address = "127.0.0.1:21101"
backend_address = "127.0.0.1:21201"
)";

std::string replace_first(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::vector<settings_diagnostic> diagnostics_of(const std::string& text)
{
    const auto result = parse_settings(text, "demo.toml");
    const auto* const diagnostics = std::get_if<std::vector<settings_diagnostic>>(&result);
    return diagnostics != nullptr ? *diagnostics : std::vector<settings_diagnostic>{};
}

std::string format_diagnostics(const std::vector<settings_diagnostic>& diagnostics)
{
    std::string text;
    for (const auto& it : diagnostics)
    {
        text += to_string(it) + "\n";
    }
    return text;
}

} // namespace

TEST_CASE("the committed deployments are valid and have the expected sizes")
{
    struct row
    {
        const char* file;
        const char* model;
        const char* tool;
    };
    constexpr std::array table{row{"atlas-voie-verte", "agent-llm", "field-app"},
                               row{"urad", "navrhy-model", "podatelna"}};
    for (const auto& it : table)
    {
        CAPTURE(it.file);
        const auto path = std::string{MASTICCOURSE_SOURCE_DIR} + "/deploy/" + it.file + ".toml";
        const auto result = read_settings(path);
        if (const auto* const diagnostics = std::get_if<std::vector<settings_diagnostic>>(&result))
        {
            FAIL(format_diagnostics(*diagnostics));
        }
        const auto& settings = std::get<deployment_settings>(result);
        const auto targets_of = [&](const std::string& service)
        { return std::ranges::count(settings.targets, service_name{service}, &target_settings::service); };
        CHECK(settings.entries.size() == 3);
        CHECK(targets_of(it.model) == 10);
        CHECK(targets_of(it.tool) == 15);
        CHECK(find_entry(settings, {"entry-2"}) != nullptr);
        CHECK(find_target(settings, {std::string{it.model} + "-10"}) != nullptr);
        CHECK(find_target(settings, {"entry-2"}) == nullptr);
        CHECK_FALSE(settings.operator_token.empty());
        CHECK(std::ranges::none_of(settings.workspaces, &std::string::empty, &workspace_settings::token));
    }
}

TEST_CASE("omitted keys have their default values")
{
    const auto result = parse_settings(valid_text, "demo.toml");
    REQUIRE(std::holds_alternative<deployment_settings>(result));
    const auto& settings = std::get<deployment_settings>(result);
    CHECK(settings.limits.turn_limit == limits_settings{}.turn_limit);
    CHECK(settings.platform.store_timeout == platform_settings{}.store_timeout);
    CHECK(settings.services.front().kind == call_kind::model);
}

TEST_CASE("each error is reported with its line and key")
{
    struct row
    {
        const char* from;
        const char* to;
        std::uint32_t line;
        const char* key;
    };
    constexpr std::array table{
        row{"customer = \"demo\"", "customer = \"demo\" x", 1, ""},
        row{"customer = \"demo\"", "colour = \"red\"", 1, "colour"},
        row{"customer = \"demo\"", "customer = 3", 1, "customer"},
        row{"operator-token-16", "short", 2, "operator_token"},
        row{"127.0.0.1:21901", "localhost:21901", 4, "platform.store_address"},
        row{"kind = \"model\"", "kind = \"oracle\"", 7, "services[0].kind"},
        row{"kind = \"model\"", "kind = \"model\"\nreports_load = 1", 8, "services[0].reports_load"},
        row{"id = \"w\"", "id = \"w w\"", 9, "workspaces[0].id"},
        row{"token = \"workspace-token-16\"", "token = \"operator-token-16\"", 8, "workspaces[0].token"},
        row{"token = \"workspace-token-16\"", "", 8, "workspaces[0].token"},
        row{"127.0.0.1:21002", "127.0.0.1:70000", 16, "entries[0].peer_address"},
        row{"127.0.0.1:21002", "127.0.0.1:21001", 11, "entries[0].peer_address"},
        row{"region = \"r\"\n", "", 11, "entries[0].region"},
        row{"name = \"llm-1\"", "name = \"entry-1\"", 17, "targets[0].name"},
        row{"service = \"llm\"", "service = \"other\"", 17, "targets[0].service"},
        row{"service = \"llm\"", "service = \"llm\"\nmax_running = 0", 22, "targets[0].max_running"},
        row{"[platform]", "[limits]\nlease_ms = 500\n[platform]", 3, "limits.lease_ms"},
        row{"[platform]", "[limits]\nshards = \"64\"\n[platform]", 4, "limits.shards"},
        row{"[platform]", "limits = 3\n[platform]", 3, "limits"},
        row{"[platform]", "tokens_file = \"absent.toml\"\n[platform]", 0, ""},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.to);
        const auto diagnostics = diagnostics_of(replace_first(valid_text, it.from, it.to));
        CAPTURE(format_diagnostics(diagnostics));
        const auto is_expected = [&](const settings_diagnostic& diagnostic)
        { return diagnostic.key == it.key && diagnostic.line == it.line; };
        CHECK(std::ranges::any_of(diagnostics, is_expected));
    }
}

TEST_CASE("all errors in a file are reported at once, in order of line numbers")
{
    auto text = replace_first(valid_text, "127.0.0.1:21901", "store");
    text = replace_first(text, "kind = \"model\"", "kind = 1\ncolour = 2");
    text = replace_first(text, "127.0.0.1:21201", "engine");
    const auto diagnostics = diagnostics_of(text);
    CHECK(diagnostics.size() == 4);
    CHECK(std::ranges::is_sorted(diagnostics, {}, &settings_diagnostic::line));
}

TEST_CASE("a missing file is reported as an error")
{
    const auto result = read_settings("/nonexistent/settings.toml");
    CHECK(std::get<std::vector<settings_diagnostic>>(result).size() == 1);
}

TEST_CASE("parse_address")
{
    CHECK(parse_address("127.0.0.1:80") == ip_endpoint{"127.0.0.1", 80});
    CHECK(parse_address("[::1]:65535") == ip_endpoint{"::1", 65535});
    for (const auto* text :
         {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x", "host:80",
          "::1:80", "[127.0.0.1]:80", "256.0.0.1:80", "127.0.0.1:-1"})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_address(text));
    }
}

TEST_CASE("tokens_equal")
{
    CHECK(tokens_equal("abc", "abc"));
    CHECK_FALSE(tokens_equal("abc", "abd"));
    CHECK_FALSE(tokens_equal("abc", "abcd"));
    CHECK_FALSE(tokens_equal("", ""));
}
