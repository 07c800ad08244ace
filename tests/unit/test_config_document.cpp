// Tests of the configuration document: patches, errors with JSON pointers, canonical text, mutated patches.
#include "masticcourse/settings/config_document.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <string>

using namespace masticcourse;

namespace
{

const std::string base_document =
    R"({"limits":{"turn_limit":400},"services":{"llm":{"kind":"model"},"tool":{"kind":"tool"}}})";

std::string patch_result(const std::string& document, const std::string& patch)
{
    const auto result = apply_merge_patch(document, patch);
    const auto* const accepted = std::get_if<accepted_config>(&result);
    return accepted != nullptr ? accepted->document : to_string(std::get<std::vector<config_error>>(result));
}

std::string nested_json(int depth)
{
    std::string text;
    for (int n = 0; n < depth; ++n)
    {
        text += R"({"a":)";
    }
    return text + "1" + std::string(static_cast<std::size_t>(depth), '}');
}

} // namespace

TEST_CASE("a merge patch adds, changes and removes members, and the result is canonical")
{
    struct row
    {
        const char* patch;
        const char* document;
    };
    constexpr std::array table{
        row{"{}",
            R"({"limits":{"turn_limit":400},"services":{"llm":{"kind":"model"},"tool":{"kind":"tool"}}})"},
        row{R"({"services":null})", R"({"limits":{"turn_limit":400}})"},
        row{R"({"services":{"tool":null},"limits":{"turn_limit":5}})",
            R"({"limits":{"turn_limit":5},"services":{"llm":{"kind":"model"}}})"},
        row{R"({"services":null,  "targets":{"t":{"leaving":true},"a":{}},"limits":null})",
            R"({"targets":{"a":{},"t":{"leaving":true}}})"},
    };
    for (const auto& it : table)
    {
        CHECK(patch_result(base_document, it.patch) == it.document);
    }
}

TEST_CASE("each error in a patched document has its JSON pointer")
{
    struct row
    {
        const char* patch;
        const char* pointer;
    };
    constexpr std::array table{
        row{"[]", ""},
        row{"{", ""},
        row{R"({"limits":{"turn_limit":1,"turn_limit":2}})", ""},
        row{R"({"colour":1})", "/colour"},
        row{R"({"services":3})", "/services"},
        row{R"({"services":{"x":{}}})", "/services/x/kind"},
        row{R"({"services":{"llm":{"kind":"oracle"}}})", "/services/llm/kind"},
        row{R"({"services":{"llm":{"default_deadline_ms":0}}})", "/services/llm/default_deadline_ms"},
        row{R"({"services":{"a/b~c":{"kind":"tool"}}})", "/services/a~1b~0c"},
        row{R"({"workspaces":{"w":{"max_budget":1.5}}})", "/workspaces/w/max_budget"},
        row{R"({"workspaces":{"w":{"max_budget":18446744073709551615}}})", "/workspaces/w/max_budget"},
        row{R"({"workspaces":{"w":{"class":1}}})", "/workspaces/w/class"},
        row{R"({"targets":{"t":{"leaving":"yes"}}})", "/targets/t/leaving"},
        row{R"({"targets":{"t":{"weight":1}}})", "/targets/t/weight"},
        row{R"({"limits":{"repeat_limit":1}})", "/limits/repeat_limit"},
        row{R"({"limits":[]})", "/limits"},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.patch);
        const auto result = apply_merge_patch(base_document, it.patch);
        const auto* const errors = std::get_if<std::vector<config_error>>(&result);
        REQUIRE(errors != nullptr);
        CHECK(errors->size() == 1);
        CHECK(errors->front().pointer == it.pointer);
        CHECK_FALSE(errors->front().message.empty());
    }
}

TEST_CASE("all errors are reported at once")
{
    const auto result =
        apply_merge_patch(base_document, R"({"services":{"x":{}},"limits":{"turn_limit":0},"colour":1})");
    CHECK(std::get<std::vector<config_error>>(result).size() == 3);
}

TEST_CASE("texts that are too deep, too long or not UTF-8 are rejected")
{
    CHECK(patch_result(base_document, nested_json(33)).find("nested") != std::string::npos);
    CHECK(patch_result(base_document, nested_json(32)).find("nested") == std::string::npos);
    CHECK(patch_result(base_document, "{\"colour\":\"\xff\"}").find("UTF-8") != std::string::npos);
    CHECK(patch_result(base_document, std::string(max_config_size + 1, ' ')).find("longer") !=
          std::string::npos);
}

TEST_CASE("a patch that makes the document too long is rejected")
{
    std::string document = "{}";
    std::string error_text;
    for (int n = 0; n < 40 && error_text.empty(); ++n)
    {
        std::string patch = R"({"targets":{)";
        for (int i = 0; i < 400; ++i)
        {
            patch += (i != 0 ? ",\"t" : "\"t") + std::to_string(n) + "-" + std::to_string(i) +
                     R"(":{"leaving":true})";
        }
        const auto result = apply_merge_patch(document, patch + "}}");
        if (const auto* const errors = std::get_if<std::vector<config_error>>(&result))
        {
            error_text = to_string(*errors);
            continue;
        }
        document = std::get<accepted_config>(result).document;
    }
    CHECK(error_text.find("longer") != std::string::npos);
    CHECK(document.size() <= max_config_size);
}

TEST_CASE("parse_config reads the document and uses defaults for omitted members")
{
    const auto view = parse_config(
        R"({"services":{"tool":{"kind":"tool","default_deadline_ms":4},"llm":{"kind":"model","default_deadline_ms":7}},
            "workspaces":{"w":{"class":"assistance"}},"targets":{"t":{"leaving":true}},"limits":{"turn_limit":9}})");
    REQUIRE(view);
    REQUIRE(view->find_service({"llm"}) != nullptr);
    CHECK(view->find_service({"llm"})->default_deadline == std::chrono::milliseconds{7});
    CHECK(view->find_service({"llm"})->idempotent_default);
    CHECK_FALSE(view->find_service({"tool"})->idempotent_default);
    CHECK(view->find_service({"tool"})->default_deadline == std::chrono::milliseconds{4});
    CHECK(view->find_service({"other"}) == nullptr);
    CHECK(view->find_workspace({"w"})->priority == service_class::assistance);
    CHECK(view->find_target({"t"})->leaving);
    CHECK(view->limits.turn_limit == 9);
    CHECK(view->limits.repeat_limit == limits_config{}.repeat_limit);
    CHECK(parse_config("{}") == config_view{});
    CHECK_FALSE(parse_config("[]"));
}

TEST_CASE("the initial document of a deployment with 3,300 workspaces and 7 models is valid")
{
    deployment_settings settings;
    for (int n = 0; n < 3300; ++n)
    {
        settings.workspaces.push_back(
            {.id = {"workspace-" + std::to_string(n)}, .priority = service_class::background});
    }
    for (int n = 0; n < 7; ++n)
    {
        settings.services.push_back({.name = {"model-" + std::to_string(n)}});
    }
    const auto document = initial_config(settings);
    const auto result = check_config(document);
    REQUIRE(std::holds_alternative<accepted_config>(result));
    CHECK(std::get<accepted_config>(result).document == document);
    CHECK(parse_config(document)->workspaces.size() == 3300);
}

TEST_CASE("mutated patches yield valid canonical documents or errors")
{
    const std::string patch =
        R"({"services":{"llm":{"kind":"tool","default_deadline_ms":3}},"targets":{"t":{"leaving":true}}})";
    const auto passed = rc::check(
        [&](const std::vector<std::pair<std::uint16_t, char>>& mutations)
        {
            std::string text = patch;
            for (const auto& [at, c] : mutations)
            {
                text[at % text.size()] = c;
            }
            const auto result = apply_merge_patch(base_document, text);
            if (const auto* const accepted = std::get_if<accepted_config>(&result))
            {
                const auto rechecked = check_config(accepted->document);
                RC_ASSERT(std::get<accepted_config>(rechecked).document == accepted->document);
                RC_ASSERT(parse_config(accepted->document).has_value());
            }
            else
            {
                RC_ASSERT(!std::get<std::vector<config_error>>(result).empty());
            }
        });
    CHECK(passed);
}
