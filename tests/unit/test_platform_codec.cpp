// The platform adapter: codecs for requests, responses, rows and store calls, and the settings.
#include "base64.hpp"
#include "gateway_settings.hpp"
#include "request_codec.hpp"
#include "row_codec.hpp"
#include "store_codec.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::platform;
using namespace std::chrono_literals;

namespace
{

http_request make_request(std::vector<http_header> headers)
{
    headers.push_back({"Host", "a.example"});
    headers.push_back({"Masticcourse-Request-Id", "9c41d07be2a35f68"});
    return {.method = "POST", .target = "/x/1", .body = "body", .headers = std::move(headers)};
}

gateway::gateway_request decode(std::vector<http_header> headers)
{
    auto decoded = platform_protocol{}.decode(make_request(std::move(headers)));
    REQUIRE(std::holds_alternative<gateway::gateway_request>(decoded));
    return std::get<gateway::gateway_request>(std::move(decoded));
}

http_client_request encode_forwarded(const std::vector<http_header>& headers)
{
    const gateway::target_record target{.id = {"i-1"}, .address = "10.0.0.1:80"};
    return platform_protocol{}.encode(decode(headers), "whole body", target, 1'250ms);
}

gateway::stored_row make_row(const std::string& key, const std::string& value)
{
    return {.name = {"t", key}, .value = value, .version = 7};
}

const std::string good_config = R"({"version":7,"unknown":1,"routes":[
  {"name":"turns","host":"h","prefix":"/a/","type":"streaming","timeoutMs":3000,"targetLatencyMs":250,"priority":1,
   "backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2,"retentionEnabled":true,
   "retentionS":60.0,"sticky":true,"resumable":true,"gapTargetMs":200},
  {"name":"tool","host":"h","prefix":"/b/","type":"non_idempotent","service":"s2","timeoutMs":1500.0}],
  "services":[{"name":"s1","healthPath":"/healthz","maxConnections":130,"engine":{"tokensPerEvent":14}},
  {"name":"s2"}],"limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":300,"idleTimeoutMs":400}})";

const std::string good_entry =
    R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v1","slots":8,"state":"draining",)"
    R"("coldRemainingMs":250,"stage":"dual","sequence":4,"born":1764000000123})";

const std::string good_settings = R"(node = "n"
failure_domain = "d"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
metrics = "127.0.0.1:4"
[store]
address = "127.0.0.1:5"
row_bytes = 65536
[limits]
memory_mb = 130
cores = 0.5
stop_grace_s = 8.5
[quota]
window_s = 5
overage = 0.1
slack = 20
)";

} // namespace

TEST_CASE("headers reserved for the system are removed from callers' requests, regardless of case")
{
    for (const auto* name : {"Masticcourse-Hold", "masticcourse-pin-ms", "Masticcourse-Kv-Backup", "KV-FROM",
                             "Kv-Fetch", "Masticcourse-Expect-Instance"})
    {
        CAPTURE(name);
        const auto sent = encode_forwarded({{name, "forged"}});
        CHECK(std::ranges::none_of(sent.headers, [](const auto& it) { return it.value == "forged"; }));
    }
}

TEST_CASE("hop-by-hop headers are removed, and all others are forwarded unchanged, including repeated ones")
{
    const auto sent = encode_forwarded({{"Connection", "keep-alive, X-Hop , masticcourse-request-id"},
                                        {"X-Hop", "1"},
                                        {"Keep-Alive", "timeout=5"},
                                        {"Transfer-Encoding", "chunked"},
                                        {"Content-Length", "4"},
                                        {"X-Twice", "a"},
                                        {"X-Twice", "b"},
                                        {"Masticcourse-Session-Id", "s"}});
    for (const auto* name : {"Connection", "X-Hop", "Keep-Alive", "Transfer-Encoding", "Content-Length"})
    {
        CAPTURE(name);
        CHECK_FALSE(find_header(sent.headers, name));
    }
    CHECK(std::ranges::count(sent.headers, std::string{"X-Twice"}, &http_header::name) == 2);
    CHECK(find_header(sent.headers, "Masticcourse-Session-Id") == "s");
    CHECK(find_header(sent.headers, "Masticcourse-Request-Id") == "9c41d07be2a35f68");
    CHECK(find_header(sent.headers, "Host") == "a.example");
}

TEST_CASE("a request that says twice what it is, or on whose behalf, is refused")
{
    for (const auto* const name :
         {"host", "Masticcourse-Request-Id", "Masticcourse-Deadline-Ms", "Masticcourse-Program-Id",
          "Masticcourse-Token-Budget", "Masticcourse-Previous-Turn", "X-Api-Key"})
    {
        CAPTURE(name);
        const auto decoded = platform_protocol{}.decode(make_request({{name, "1"}, {name, "1"}}));
        REQUIRE(std::holds_alternative<gateway::refusal>(decoded));
        CHECK(std::get<gateway::refusal>(decoded).reason == gateway::refusal_reason::malformed);
    }
}

// Guards against work that grows with the square of the header: it would not end here.
TEST_CASE("hop-by-hop headers are found among any number of headers and connection options")
{
    constexpr std::size_t count = 200'000;
    std::vector<http_header> headers{{"Connection", "X-Hop"}};
    for (std::size_t n = 0; n < count; ++n)
    {
        headers.push_back({"X-" + std::to_string(n), "v"});
        headers.front().value += ",y-" + std::to_string(n);
    }
    headers.push_back({"x-hop", "1"});
    const auto decoded = decode(std::move(headers));
    CHECK(decoded.headers.size() == count + 2);
    CHECK_FALSE(find_header(decoded.headers, "X-Hop"));
}

TEST_CASE("a forwarded request carries the expected instance and the remaining time, once each")
{
    const auto sent = encode_forwarded({{"Masticcourse-Deadline-Ms", "3000"}});
    CHECK(find_header(sent.headers, "Masticcourse-Expect-Instance") == "i-1");
    CHECK(find_header(sent.headers, "Masticcourse-Deadline-Ms") == "1250");
    CHECK(std::ranges::count(sent.headers, std::string{"Masticcourse-Deadline-Ms"}, &http_header::name) == 1);
    CHECK(sent.body == "whole body");
}

TEST_CASE("an API key is not forwarded, and the workspace header is set by the system, not by the caller")
{
    struct row
    {
        const char* key_header;
        const char* connection;
    };
    constexpr std::array table{
        row{"X-Api-Key", "keep-alive"},
        row{"x-api-key", "keep-alive"},
        row{"X-API-KEY", "X-Api-Key, Masticcourse-Tenant"},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.key_header);
        const std::vector<http_header> headers{
            {it.key_header, "secret"}, {"Connection", it.connection}, {"masticcourse-tenant", "forged"}};
        auto request = decode(headers);
        CHECK(request.access_key == "secret");
        request.workspace = {"hule"};
        const gateway::target_record target{.id = {"i-1"}, .address = "10.0.0.1:80"};
        const auto sent = platform_protocol{}.encode(request, "", target, 1s);
        CHECK(
            std::ranges::none_of(sent.headers, [](const auto& header) { return header.value == "secret"; }));
        CHECK(find_header(sent.headers, "Masticcourse-Tenant") == "hule");
        CHECK(std::ranges::count(sent.headers, std::string{"Masticcourse-Tenant"}, &http_header::name) == 1);
        const auto anonymous = encode_forwarded(headers);
        CHECK_FALSE(find_header(anonymous.headers, "Masticcourse-Tenant"));
        CHECK(std::ranges::none_of(anonymous.headers,
                                   [](const auto& header) { return header.value == "secret"; }));
    }
}

TEST_CASE("program headers are decoded, and invalid ids are refused")
{
    const auto turn = decode({{"Masticcourse-Program-Id", "3fa81c"},
                              {"Masticcourse-Token-Budget", "2240"},
                              {"Masticcourse-Token-Usage", "1840,280"},
                              {"Masticcourse-Previous-Turn", "40c8"},
                              {"Masticcourse-Affinity-Key", "17"},
                              {"Masticcourse-Deadline-Ms", "3000"}});
    REQUIRE(turn.program);
    CHECK(turn.program->program.value == "3fa81c");
    CHECK(turn.program->budget == 2240);
    CHECK(turn.program->max_tokens == 280);
    CHECK(turn.program->previous_turn->value == "40c8");
    CHECK(turn.affinity_key == "17");
    CHECK(turn.timeout == gateway::milliseconds{3'000});
    CHECK_FALSE(decode({{"Masticcourse-Program-Id", "3fa81c"}}).program->budget);

    for (const auto* id : {"", "a b", "a~1", "../x", "\x01"})
    {
        CAPTURE(id);
        auto request = make_request({});
        request.headers.back().value = id;
        CHECK(std::holds_alternative<gateway::refusal>(platform_protocol{}.decode(std::move(request))));
        auto other = make_request({{"Masticcourse-Program-Id", "p"}, {"Masticcourse-Previous-Turn", id}});
        CHECK(std::holds_alternative<gateway::refusal>(platform_protocol{}.decode(std::move(other))));
    }
}

TEST_CASE("the response headers of a target are decoded")
{
    struct row
    {
        int status;
        std::vector<http_header> headers;
        bool not_executed;
        bool authentic;
    };
    const std::array table{
        row{200, {{"Masticcourse-Response-Signature", "s"}}, false, true},
        row{200, {}, false, false},
        row{200, {{"Masticcourse-Response-Signature", "s"}, {"Content-Encoding", "gzip"}}, false, false},
        row{503, {{"Masticcourse-Not-Executed", "1"}}, true, false},
        row{503, {}, false, false},
        row{421, {}, true, false},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.status);
        const auto answer = platform_protocol{}.decode({.status = it.status, .headers = it.headers});
        CHECK(answer.not_executed == it.not_executed);
        CHECK(answer.authentic == it.authentic);
    }
    const auto loaded =
        platform_protocol{}.decode(http_client_reply{.headers = {{"Masticcourse-Instance-Load", "3,1,8"}}});
    REQUIRE(loaded.load);
    CHECK(loaded.load->running == 3);
    CHECK(loaded.load->waiting == 1);
    CHECK(loaded.load->slots == 8);
    CHECK_FALSE(platform_protocol{}
                    .decode(http_client_reply{.headers = {{"Masticcourse-Instance-Load", "3,x"}}})
                    .load);
}

TEST_CASE("sizes of requests are decoded, malformed ones count as missing, and all are forwarded unchanged")
{
    struct row
    {
        const char* name;
        std::vector<std::string> malformed;
    };
    const auto repeated = [](std::size_t count)
    {
        std::string text = "a:1";
        for (std::size_t n = 1; n < count; ++n)
        {
            text += ",a:1";
        }
        return text;
    };
    const auto* const usage = "Masticcourse-Token-Usage";
    const auto* const hint = "Masticcourse-Length-Hint";
    const auto* const prompt = "Masticcourse-Prompt-Prefix";
    const std::array table{
        row{usage,
            {"", ",", "1840", "1840,", "-1,280", "1840,-280", "1840,280,1", "1840, 280", "x,280",
             "99999999999999999999,1", "9223372036854775807,9223372036854775807"}},
        row{hint, {"", "-75", "7.5", "75 tokens", "99999999999999999999"}},
        row{prompt,
            {"", "3f", ":7", "3f:", "3f:-7", "xy:7", "3f:7:8", "3f:700,", ",3f:700", "3f:700,,9c:40",
             "3f:99999999999", std::string(101, 'a') + ":7", repeated(65)}},
        row{"Masticcourse-Session-Id", {"a b"}},
        row{"Masticcourse-Program-Deadline-Ms", {"soon", "9223372036854775807"}},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        for (const auto& value : it.malformed)
        {
            CAPTURE(value);
            CHECK_FALSE(decode({{it.name, value}}).generation);
            CHECK(find_header(encode_forwarded({{it.name, value}}).headers, it.name) == value);
            // One malformed header doesn't affect the others.
            const auto mixed = decode({{it.name, value}, {usage, "1840,280"}, {hint, "75"}}).generation;
            REQUIRE(mixed);
            CHECK(mixed->max_output == (it.name == usage ? 0 : 280));
            CHECK(mixed->output_hint == (it.name == hint ? std::nullopt : std::optional<token_count>{75}));
        }
    }
    const std::vector<http_header> good{{usage, "1840,280"}, {hint, "75"}, {prompt, "3fA8:700,9c:40"}};
    const auto generation = decode(good).generation;
    REQUIRE(generation);
    CHECK(generation->prompt_tokens == 1'840);
    CHECK(generation->max_output == 280);
    CHECK(generation->output_hint == 75);
    CHECK(generation->prompt == std::vector<gateway::prompt_part>{{"3fA8", 700}, {"9c", 40}});
    CHECK(decode({{prompt, repeated(64)}}).generation->prompt.size() == 64);
    const auto sent = encode_forwarded(good).headers;
    CHECK(std::ranges::all_of(good,
                              [&sent](const auto& it) { return find_header(sent, it.name) == it.value; }));
    CHECK_FALSE(decode({}).generation);
}

TEST_CASE("the session and the deadline of a program are decoded, and malformed ones count as missing")
{
    struct row
    {
        const char* session;
        const char* deadline;
        std::string expected_session;
        std::optional<gateway::milliseconds> time_left;
    };
    const std::array table{
        row{"3fa81c.1", "2400", "3fa81c.1", 2'400ms},
        row{"3fa81c", "-30", "3fa81c", -30ms},
        row{"a b", "2400", "", 2'400ms},
        row{"", "0", "", 0ms},
        row{"s", "", "s", {}},
        row{"s", "2.4", "s", {}},
        row{"s", "9223372036854775807", "s", {}},
        row{"s", "-9223372036854775808", "s", {}},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.session);
        CAPTURE(it.deadline);
        const auto program = decode({{"Masticcourse-Program-Id", "3fa81c"},
                                     {"Masticcourse-Session-Id", it.session},
                                     {"Masticcourse-Program-Deadline-Ms", it.deadline}})
                                 .program;
        REQUIRE(program);
        CHECK(program->session == it.expected_session);
        CHECK(program->time_left == it.time_left);
    }
    CHECK_FALSE(decode({{"Masticcourse-Session-Id", "s"}}).program);
}

TEST_CASE("the time factor of a load report is optional, and a malformed one leaves the load valid")
{
    struct row
    {
        const char* value;
        std::optional<double> time_factor;
    };
    constexpr std::array table{
        row{"3,1,8", {}},       row{"3,1,8,100", 1.0},        row{"3,1,8,250", 2.5},
        row{"3,1,8,70,9", 0.7}, row{"3,1,8,0", {}},           row{"3,1,8,-50", {}},
        row{"3,1,8,", {}},      row{"3,1,8,x", {}},           row{"3,1,8,1e400", {}},
        row{"3,1,8,nan", {}},   row{"3,1,8,99999999999", {}},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.value);
        const auto load =
            platform_protocol{}
                .decode(http_client_reply{.headers = {{"Masticcourse-Instance-Load", it.value}}})
                .load;
        REQUIRE(load);
        CHECK(load->running == 3);
        CHECK(load->waiting == 1);
        CHECK(load->slots == 8);
        CHECK(load->time_factor == it.time_factor);
    }
}

TEST_CASE("a response is matched to its request by the request id")
{
    const platform_protocol protocol;
    const auto with_id = [](const std::string& id) {
        return http_client_reply{.status = 200, .headers = {{"Masticcourse-Request-Id", id}}};
    };
    CHECK(protocol.is_response_to(with_id("a"), {"a"}));
    CHECK_FALSE(protocol.is_response_to(with_id("b"), {"a"}));
    CHECK_FALSE(protocol.is_response_to({.status = 200}, {"a"}));
    CHECK(protocol.is_response_to({.status = 503, .headers = {{"Masticcourse-Not-Executed", "1"}}}, {"a"}));
}

TEST_CASE("a status that guarantees \"not executed\" is used only if the request was not executed")
{
    using gateway::refusal_reason;
    constexpr std::array reasons{refusal_reason::no_configuration, refusal_reason::store_away,
                                 refusal_reason::no_target,        refusal_reason::targets_full,
                                 refusal_reason::target_failed,    refusal_reason::deadline_passed};
    for (const auto reason : reasons)
    {
        CAPTURE(gateway::to_string(reason));
        const auto response = platform_protocol{}.encode(
            gateway::refusal{.reason = reason, .ran = ran_state::unknown, .retry_after = 400ms});
        CHECK(response.status >= 502);
        CHECK(response.status != 503);
        CHECK_FALSE(find_header(response.headers, "Retry-After"));
    }
    const auto store_unavailable = platform_protocol{}.encode(
        gateway::refusal{.reason = refusal_reason::store_away, .retry_after = 1'050ms});
    CHECK(store_unavailable.status == 503);
    CHECK(find_header(store_unavailable.headers, "Retry-After") == "1.050");
    CHECK(platform_protocol{}.encode(gateway::refusal{.reason = refusal_reason::over_budget}).status == 402);
    CHECK(platform_protocol{}.encode(gateway::refusal{.reason = refusal_reason::no_route}).status == 404);
}

TEST_CASE("the operator's configuration is decoded into routes and services, ignoring unknown fields")
{
    const auto decoded = decode_config(make_row("config", good_config));
    REQUIRE(decoded);
    const auto* const config = std::get_if<gateway::gateway_config>(&*decoded);
    REQUIRE(config != nullptr);
    CHECK(config->version == 7);
    REQUIRE(config->routes.size() == 2);
    const auto& turns = config->routes[0];
    CHECK(turns.kind == gateway::request_kind::stream);
    CHECK(turns.retains_turns());
    CHECK(turns.services.size() == 2);
    CHECK(turns.services[0].weight == 90);
    CHECK(turns.max_attempts == 2);
    CHECK(turns.resumable);
    CHECK(turns.repeatable());
    CHECK(turns.event_gap == 200ms);
    const auto& tool = config->routes[1];
    CHECK(tool.kind == gateway::request_kind::non_idempotent);
    CHECK_FALSE(tool.retains_turns());
    CHECK(tool.services[0].service.value == "s2");
    CHECK(tool.timeout == 1'500ms);
    CHECK(tool.max_attempts == 1);
    CHECK(config->find_service({"s1"})->engine->tokens_per_event == 14);
    CHECK(config->limits.max_body == 200);
    CHECK(config->limits.idle_timeout == 400ms);
}

TEST_CASE("an invalid configuration is refused")
{
    CHECK_FALSE(decode_config(make_row("other", good_config)));
    for (const auto* text :
         {"", "{}", "[]", R"({"version":"x","routes":[],"services":[]})",
          R"({"version":1,"routes":[{"host":"h","prefix":"/","type":"odd","service":"s"}],"services":[]})",
          R"({"version":1,"routes":[{"host":"h","prefix":"/","type":"streaming"}],"services":[]})"})
    {
        CAPTURE(text);
        const auto decoded = decode_config(make_row("config", text));
        REQUIRE(decoded);
        CHECK(std::holds_alternative<gateway::row_decode_error>(*decoded));
    }
}

TEST_CASE("workspaces are decoded, and error messages do not contain API keys")
{
    const auto with = [](const std::string& workspaces)
    {
        auto text = good_config;
        text.replace(0, 1, R"({"tenants":)" + workspaces + ",");
        return *decode_config(make_row("config", text));
    };
    const auto good = with(R"([{"name":"w","apiKeys":["k1","k2"],"priority":1,"ratePerS":40.5,"burst":7},
                              {"name":"free","apiKeys":[],"ratePerS":0}])");
    const auto& workspaces = std::get<gateway::gateway_config>(good).workspaces;
    REQUIRE(workspaces.all().size() == 2);
    const auto* const owner = workspaces.find_by_key("k2");
    REQUIRE(owner != nullptr);
    CHECK(owner->name.value == "w");
    CHECK(owner->priority == 1);
    CHECK(owner->quota == gateway::request_quota{40.5, 7});
    CHECK_FALSE(workspaces.find({"free"})->quota);
    CHECK(workspaces.find_by_key("k3") == nullptr);
    CHECK(workspaces.find_by_key("") == nullptr);
    CHECK_FALSE(std::get<gateway::gateway_config>(*decode_config(make_row("config", good_config)))
                    .workspaces.has_quotas());

    struct row
    {
        const char* workspaces;
        const char* path;
    };
    constexpr std::array table{
        row{R"([{"name":"w","apiKeys":["secret"]},{"name":"v","apiKeys":["secret"]}])",
            "tenants[1].apiKeys[0]"},
        row{R"([{"name":"w","apiKeys":["secret","secret"]}])", "tenants[0].apiKeys[1]"},
        row{R"([{"name":"w","apiKeys":["secret",""]}])", "tenants[0].apiKeys[1]"},
        row{R"([{"name":"w","apiKeys":["secret",7]}])", "tenants[0].apiKeys[1]"},
        row{R"([{"name":"w","apiKeys":"secret"}])", "tenants[0].apiKeys"},
        row{R"([{"apiKeys":["secret"]}])", "tenants[0].name"},
        row{R"([{"name":"","apiKeys":["secret"]}])", "tenants[0].name"},
        row{R"([{"name":"a b","apiKeys":["secret"]}])", "tenants[0].name"},
        row{R"([{"name":"w"},{"name":"w","apiKeys":["secret"]}])", "tenants[1].name"},
        row{R"([{"name":"w","apiKeys":["secret"],"ratePerS":-1}])", "tenants[0].ratePerS"},
        row{R"([{"name":"w","apiKeys":["secret"],"ratePerS":"9"}])", "tenants[0].ratePerS"},
        row{R"([{"name":"w","apiKeys":["secret"],"burst":-0.5}])", "tenants[0].burst"},
        row{R"([{"name":"w","apiKeys":["secret"],"priority":"x"}])", "tenants[0].priority"},
        row{R"([7])", "tenants[0]"},
        row{R"({"name":"w","apiKeys":["secret"]})", "tenants"},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.workspaces);
        const auto bad = with(it.workspaces);
        const auto* const error = std::get_if<gateway::row_decode_error>(&bad);
        REQUIRE(error != nullptr);
        CHECK(error->message.starts_with(std::string{it.path} + " "));
        CHECK(error->message.find("secret") == std::string::npos);
    }
    const auto truncated = *decode_config(make_row("config", R"({"tenants":[{"apiKeys":["secret)"));
    CHECK(std::get<gateway::row_decode_error>(truncated).message.find("secret") == std::string::npos);
}

TEST_CASE("a registry entry with any invalid field is refused")
{
    const auto good = nlohmann::json::parse(good_entry);
    const auto decode = [](const nlohmann::json& entry)
    {
        return decode_target(
            make_row("i-1", entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)));
    };
    const auto decoded = decode(good);
    const auto* const target = std::get_if<gateway::target_record>(&decoded);
    REQUIRE(target != nullptr);
    CHECK(target->instance() == gateway::target_instance{{"i-1"}, gateway::wall_time{1'764'000'000'123ms}});
    CHECK(target->draining);
    CHECK(target->slots == 8);
    CHECK(target->warmup_remaining == 250ms);
    auto without_start_time = good;
    without_start_time.erase("born");
    CHECK(std::holds_alternative<gateway::target_record>(decode(without_start_time)));

    struct row
    {
        const char* field;
        nlohmann::json value;
    };
    const std::array table{
        row{"service", 7},
        row{"service", ""},
        row{"address", nullptr},
        row{"address", "nowhere"},
        row{"zone", true},
        row{"version", 1},
        row{"slots", "8"},
        row{"slots", 0},
        row{"slots", -1},
        row{"slots", 1.5},
        row{"slots", 1e300},
        row{"state", "gone"},
        row{"state", 1},
        row{"sequence", "4"},
        row{"sequence", {}},
        row{"coldRemainingMs", "0"},
        row{"coldRemainingMs", -1},
        row{"born", "now"},
        row{"born", 1.25},
        row{"born", -1},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.field);
        CAPTURE(it.value.dump());
        auto entry = good;
        entry[it.field] = it.value;
        CHECK(std::holds_alternative<gateway::row_decode_error>(decode(entry)));
        if (std::string{it.field} != "born")
        {
            entry.erase(it.field);
            CHECK(std::holds_alternative<gateway::row_decode_error>(decode(entry)));
        }
    }
    for (const auto* text : {"", "[]", "null", "{", "\xff\xfe"})
    {
        CHECK(std::holds_alternative<gateway::row_decode_error>(decode_target(make_row("i-1", text))));
    }
}

TEST_CASE("rows with corrupted bytes cause no crash and yield no invalid target")
{
    const auto decodes_safely = [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& changes)
    {
        std::string text = good_entry;
        std::ranges::for_each(changes, [&text](const auto& it)
                              { text[it.first % text.size()] = static_cast<char>(it.second); });
        const auto decoded = decode_target(make_row("i-1", text));
        const auto* const target = std::get_if<gateway::target_record>(&decoded);
        const bool is_target_valid = target == nullptr || (target->id.value == "i-1" && target->slots > 0 &&
                                                           is_valid_endpoint(target->address));
        std::string config = good_config;
        std::ranges::for_each(changes, [&config](const auto& it)
                              { config[it.first * 3U % config.size()] = static_cast<char>(it.second); });
        return is_target_valid && decode_config(make_row("config", config)).has_value();
    };
    CHECK(rc::check([&](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& changes)
                    { return decodes_safely(changes); }));
    // Single-byte changes are the most likely to pass validation.
    for (unsigned at = 0; at < good_entry.size(); ++at)
    {
        for (unsigned byte = 0; byte < 256; byte += 5)
        {
            CHECK(decodes_safely({{static_cast<std::uint8_t>(at), static_cast<std::uint8_t>(byte)}}));
        }
    }
}

TEST_CASE("a row with invalid base64 does not affect the other rows of its page")
{
    const auto page = decode_page(R"({"ver":9,"nowMs":1,"rows":[
        {"table":"t","part":"","key":"a","value":"!!","ver":3},
        {"table":"t","part":"","key":"b","value":"bm9kZS0x","ver":4}]})");
    REQUIRE(page);
    REQUIRE(page->rows.size() == 2);
    CHECK(page->rows[0].value.empty());
    CHECK(page->rows[1].value == "node-1");
}

TEST_CASE("the last event id is forwarded once, with the gateway's value")
{
    auto request = decode({{"Last-Event-Id", "4"}});
    CHECK(request.last_event_id == "4");
    request.last_event_id = "6";
    const gateway::target_record target{.id = {"i-1"}, .address = "10.0.0.1:80"};
    const auto sent = platform_protocol{}.encode(request, "", target, 1s);
    CHECK(find_header(sent.headers, "Last-Event-Id") == "6");
    CHECK(std::ranges::count(sent.headers, std::string{"Last-Event-Id"}, &http_header::name) == 1);
    CHECK_FALSE(find_header(encode_forwarded({}).headers, "Last-Event-Id"));
}

TEST_CASE("base64 round trips, and invalid input is refused")
{
    CHECK(to_base64("node-1") == "bm9kZS0x");
    CHECK(rc::check([](const std::string& bytes) { return from_base64(to_base64(bytes)) == bytes; }));
    for (const auto* text : {"a", "ab=c", "a===", "!!!!", "abc"})
    {
        CAPTURE(text);
        CHECK_FALSE(from_base64(text));
    }
    CHECK(from_base64("") == "");
}

TEST_CASE("store calls are encoded, and the responses of the store are decoded")
{
    const auto call = encode(gateway::row_transaction{
        .partition = "p7", .conditions = {{{"my", "owner"}, 0}}, .puts = {{{"my", "owner"}, "node-1"}}});
    CHECK(call.target == "/rows-tx");
    CHECK(call.body ==
          R"({"precondition":[{"key":"owner","part":"p7","table":"my","ver":0}],)"
          R"("puts":[{"key":"owner","part":"p7","table":"my","value":"bm9kZS0x"}],"remove":[]})");
    const auto query = encode(gateway::row_query{.table = "my", .partition = "p7", .from = "o", .to = "p q"});
    CHECK(query.target == "/rows-get?table=my&part=p7&from=o&to=p%20q&limit=500");
    CHECK(encode_follow("op", 530, 20'000ms).target == "/rows-feed?table=op&after=530&waitMs=20000");

    const auto page = decode_page(
        R"({"rows":[{"table":"my","part":"p7","key":"o","value":"bm9kZS0x","ver":412},{"key":"x","ver":9,"deleted":true}],)"
        R"("hasMore":true,"ver":530,"nowMs":1})");
    REQUIRE(page);
    CHECK(page->version == 530);
    CHECK(page->has_more);
    CHECK(page->rows[0].value == "node-1");
    CHECK(page->rows[1].removed);
    for (const auto* text : {"", "{}", R"({"ver":1})", R"({"ver":1,"rows":[{"ver":2}]})"})
    {
        CHECK_FALSE(decode_page(text));
    }

    CHECK(encode(gateway::row_query{.table = "my", .partition = "p7", .limit = 64}).target ==
          "/rows-get?table=my&part=p7&limit=64");
    CHECK(encode_list_partitions("my", "").target == "/rows-parts?table=my");
    CHECK(encode_list_partitions("my", "p 7").target == "/rows-parts?table=my&after=p%207");
    const auto partitions = decode_partitions(R"({"parts":["","p7"],"hasMore":true,"ver":530})");
    REQUIRE(partitions);
    CHECK(partitions->partitions == std::vector<std::string>{"", "p7"});
    CHECK(partitions->has_more);
    CHECK(partitions->version == 530);
    CHECK(decode_partitions(R"({"parts":[]})")->version == 0);
    for (const auto* text : {"", "[]", "{}", R"({"parts":"p7"})", R"({"parts":[7]})"})
    {
        CHECK_FALSE(decode_partitions(text));
    }

    using gateway::store_outcome;
    CHECK(decode_transaction({200, R"({"ver":412})"}).version == 412);
    const auto conflict =
        decode_transaction({412, R"({"rows":[{"table":"my","key":"o","value":"","ver":3}]})"});
    CHECK(conflict.outcome == store_outcome::conflict);
    CHECK(conflict.current.at(0).version == 3);
    CHECK(decode_transaction({200, "cut off"}).outcome == store_outcome::unknown);
    CHECK(decode_transaction({403, "{}"}).outcome == store_outcome::refused);
    CHECK(decode_transaction({429, "{}"}).outcome == store_outcome::refused);
    CHECK(decode_transaction({503, "{}"}).outcome == store_outcome::refused);
    CHECK(decode_transaction({400, "{}"}).outcome == store_outcome::rejected);
    CHECK(decode_transaction({413, "{}"}).outcome == store_outcome::rejected);
}

TEST_CASE("settings are parsed, and errors name the key")
{
    const auto good = parse_gateway_settings(good_settings);
    REQUIRE(std::holds_alternative<gateway_settings>(good));
    CHECK(std::get<gateway_settings>(good).stop_grace == 8'500ms);
    CHECK(std::get<gateway_settings>(good).store == "127.0.0.1:5");
    const gateway::quota_rule rule{.window = 5s, .overage = 0.1, .slack = 20};
    CHECK(std::get<gateway_settings>(good).quota == rule);
    // Platforms without quotas omit the section.
    const auto without = parse_gateway_settings(good_settings.substr(0, good_settings.find("[quota]")));
    CHECK(std::get<gateway_settings>(without).quota == gateway::quota_rule{});

    struct admission_row
    {
        const char* section;
        bool enabled;
    };
    for (const auto& it :
         {admission_row{"", false},
          {"[deployment]\ncontracts = [\"base\", \"cost\"]\n", false},
          {"[deployment]\ncontracts = [\"base\", \"pressure\"]\n", true},
          {"[admission]\nenabled = true\n", true},
          {"[deployment]\ncontracts = [\"pressure\"]\n[admission]\nenabled = false\n", false}})
    {
        CAPTURE(it.section);
        const auto parsed = parse_gateway_settings(good_settings + "\n" + it.section);
        REQUIRE(std::holds_alternative<gateway_settings>(parsed));
        CHECK(std::get<gateway_settings>(parsed).scheduling.admission == it.enabled);
    }

    struct row
    {
        std::string from;
        std::string to;
        std::string key;
    };
    const std::array table{
        row{"slack = 20", "slack = 20\n[admission]\nenabled = 1", "admission.enabled"},
        row{"slack = 20", "slack = 20\n[deployment]\ncontracts = \"pressure\"", "deployment.contracts"},
        row{"node = \"n\"", "node = \"\"", "node"},
        row{"127.0.0.1:1\"", "127.0.0.1\"", "listen.callers"},
        row{"row_bytes = 65536", "", "store.row_bytes"},
        row{"memory_mb = 130", "memory_mb = \"130\"", "limits.memory_mb"},
        row{"stop_grace_s = 8.5", "stop_grace_s = -1", "limits.stop_grace_s"},
        row{"window_s = 5", "window_s = 0", "quota.window_s"},
        row{"overage = 0.1", "overage = -1", "quota.overage"},
        row{"slack = 20", "slack = \"20\"", "quota.slack"},
        row{"[limits]", "[limits", "(file)"},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.key);
        auto text = good_settings;
        text.replace(text.find(it.from), it.from.size(), it.to);
        const auto bad = parse_gateway_settings(text);
        REQUIRE(std::holds_alternative<settings_error>(bad));
        CHECK(std::get<settings_error>(bad).key == it.key);
        CHECK_FALSE(std::get<settings_error>(bad).message.empty());
    }
    CHECK(std::holds_alternative<settings_error>(read_gateway_settings("/nowhere/settings.toml")));
}
