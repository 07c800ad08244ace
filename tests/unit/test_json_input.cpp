// Tests of request body parsing: valid bodies, errors by field, and mutated bodies, which must never throw.
#include "masticcourse/input/json_input.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <string>

using namespace masticcourse;

namespace
{

const std::string program_body =
    R"({"workspace":"w","class":"assistance","budget":5000,"deadline_ms":60000,"parent":"p-1"})";
const std::string call_body =
    R"({"service":"llm","input":"Hello","idempotent":true,"max_tokens":32,"deadline_ms":500,"after":3})";

/// Overwrites the bytes at the given positions (modulo the length).
std::string mutate(std::string text, const std::vector<std::pair<std::uint16_t, char>>& mutations)
{
    for (const auto& [at, c] : mutations)
    {
        text[at % text.size()] = c;
    }
    return text;
}

/// Whether the result is a value, or a problem that guarantees that nothing was executed.
template <typename Value>
bool is_value_or_not_run(const std::variant<Value, problem>& result)
{
    const auto* const error = std::get_if<problem>(&result);
    return error == nullptr || (error->failed() && error->ran == ran_state::no);
}

} // namespace

TEST_CASE("all members of a program body are parsed")
{
    const auto result = read_program_spec(program_body);
    REQUIRE(std::holds_alternative<program_spec>(result));
    CHECK(std::get<program_spec>(result) == program_spec{.workspace = {"w"},
                                                         .priority = service_class::assistance,
                                                         .budget = 5000,
                                                         .deadline = std::chrono::milliseconds{60'000},
                                                         .parent = {"p-1"}});
}

TEST_CASE("all members of a call body are parsed")
{
    const auto result = read_call_request(call_body, {"k"});
    REQUIRE(std::holds_alternative<call_request>(result));
    CHECK(std::get<call_request>(result) == call_request{.key = {"k"},
                                                         .service = {"llm"},
                                                         .input = "Hello",
                                                         .idempotent = true,
                                                         .max_tokens = 32,
                                                         .deadline = std::chrono::milliseconds{500},
                                                         .after = 3});
}

TEST_CASE("omitted members of a call body are taken from the configuration")
{
    const auto config = parse_config(
        R"({"services":{"llm":{"kind":"model"},"tool":{"kind":"tool","default_deadline_ms":9}}})");
    REQUIRE(config);
    struct row
    {
        const char* body;
        call_kind kind;
        bool idempotent;
        int deadline_ms;
    };
    constexpr std::array table{
        row{R"({"service":"llm","input":""})", call_kind::model, true, 60'000},
        row{R"({"service":"tool","input":""})", call_kind::tool, false, 9},
        row{R"({"service":"tool","input":"","idempotent":true,"deadline_ms":5})", call_kind::tool, true, 5},
    };
    for (const auto& it : table)
    {
        const auto result = read_call_request(it.body, {"k"}, {}, &*config);
        REQUIRE(std::holds_alternative<call_request>(result));
        const auto& call = std::get<call_request>(result);
        CHECK(call.kind == it.kind);
        CHECK(call.idempotent == it.idempotent);
        CHECK(call.deadline == std::chrono::milliseconds{it.deadline_ms});
    }
    const auto unknown = read_call_request(R"({"service":"x","input":""})", {"k"}, {}, &*config);
    CHECK(std::get<problem>(unknown).id == problem_id::unknown_service);
}

TEST_CASE("without a configuration a call is idempotent only if its body says so")
{
    const auto result = read_call_request(R"({"service":"s","input":""})", {"k"});
    CHECK_FALSE(std::get<call_request>(result).idempotent);
}

TEST_CASE("each error in a body names its field and states that nothing was executed")
{
    struct row
    {
        const char* body;
        problem_id id;
        const char* expected_detail;
    };
    constexpr std::array table{
        row{"", problem_id::malformed_request, ""},
        row{"{", problem_id::malformed_request, ""},
        row{"{\"input\":\"\xc3\"}", problem_id::malformed_request, "UTF-8"},
        row{R"({"input":"\ud800"})", problem_id::malformed_request, ""},
        row{R"({"input":"a","input":"b"})", problem_id::malformed_request, "twice"},
        row{"[]", problem_id::invalid_field, "object"},
        row{"{}", problem_id::invalid_field, "/service: missing; /input: missing"},
        row{R"({"service":"a b","input":""})", problem_id::invalid_field, "/service"},
        row{R"({"service":"s","input":3})", problem_id::invalid_field, "/input"},
        row{R"({"service":"s","input":"0123456789"})", problem_id::invalid_field, "/input"},
        row{R"({"service":"s","input":"","max_tokens":-1})", problem_id::invalid_field, "/max_tokens"},
        row{R"({"service":"s","input":"","after":4294967296})", problem_id::invalid_field, "/after"},
        row{R"({"service":"s","input":"","idempotent":0})", problem_id::invalid_field, "/idempotent"},
        row{R"({"service":"s","input":"","deadline_ms":1e3})", problem_id::invalid_field, "/deadline_ms"},
        row{R"({"service":"s","input":"","colour":1})", problem_id::invalid_field, "/colour"},
    };
    constexpr input_limits limits{.max_body = 200, .max_input = 8};
    for (const auto& it : table)
    {
        CAPTURE(it.body);
        const auto result = read_call_request(it.body, {"k"}, limits);
        REQUIRE(std::holds_alternative<problem>(result));
        const auto& error = std::get<problem>(result);
        CHECK(error.id == it.id);
        CHECK(error.ran == ran_state::no);
        CAPTURE(error.detail);
        CHECK(error.detail.find(it.expected_detail) != std::string::npos);
    }
}

TEST_CASE("oversized bodies and keys of invalid length are rejected")
{
    const auto too_large = read_call_request(std::string(300, ' '), {"k"}, {.max_body = 200});
    CHECK(std::get<problem>(too_large).id == problem_id::body_too_large);
    for (const auto& key : {std::string{}, std::string(257, 'k')})
    {
        const auto result = read_call_request(call_body, {key});
        CHECK(std::get<problem>(result).detail.find("Idempotency-Key") != std::string::npos);
    }
    CHECK(std::get<problem>(read_program_spec("{}")).detail == "/budget: missing");
    CHECK(std::get<problem>(read_program_spec(R"({"budget":0})")).id == problem_id::invalid_field);
}

TEST_CASE("mutated bodies are parsed or rejected without throwing")
{
    const auto passed = rc::check(
        [](const std::vector<std::pair<std::uint16_t, char>>& mutations)
        {
            const auto call = read_call_request(mutate(call_body, mutations), {"k"});
            const auto spec = read_program_spec(mutate(program_body, mutations));
            RC_ASSERT(is_value_or_not_run(call));
            RC_ASSERT(is_value_or_not_run(spec));
        });
    CHECK(passed);
}

TEST_CASE("arbitrary bytes are parsed or rejected without throwing")
{
    const auto passed = rc::check(
        [](const std::string& bytes)
        {
            const auto call = read_call_request(bytes, {"k"});
            RC_ASSERT(is_value_or_not_run(call));
        });
    CHECK(passed);
}
