// JSON of others is parsed within bounds, whatever its bytes are.
#include "../../src/codec/bounded_json.hpp"

#include "support/test_seed.hpp"
#include "support/text.hpp"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <random>
#include <string>
#include <vector>

using namespace masticcourse;
using codec::is_bounded_json;
using codec::is_bounded_object;
using codec::parse_bounded;
using testing::repeat;

namespace
{

constexpr std::size_t many = 1'000'000;

struct bounds_case
{
    const char* name;
    std::string text;
    bool bounded;
    bool object;
};

const std::vector<bounds_case> bounds_cases{
    {"an empty object", "{}", true, true},
    {"an object in spaces", " \r\n\t{\"a\":[1,{\"b\":null}]} \n", true, true},
    {"brackets in a text", R"({"a":"[[{{]]","b":"\\","c":"\"}"})", true, true},
    {"a long text", R"({"a":")" + std::string(many, '[') + R"("})", true, true},
    {"nothing", "", true, false},
    {"spaces", "  ", true, false},
    {"a word", "nonsense", true, false},
    {"a list", "[1]", true, false},
    {"an object that is cut", R"({"a":1)", true, false},
    {"a text that is cut", R"({"a":"b})", true, false},
    {"a text that ends in an escape", R"({"a":"\})", true, false},
    {"a bracket too many", "{}}", true, false},
    {"deep lists", repeat("[", many), false, false},
    {"deep objects", repeat("{\"a\":", many) + "1" + repeat("}", many), false, false},
    {"many lists", "{\"a\":[" + repeat("[],", many) + "1]}", false, false},
    {"many objects", "{\"a\":[" + repeat("{},", many) + "1]}", false, false},
    {"many numbers", "{\"a\":[" + repeat("1,", many) + "1]}", false, false},
    {"many commas", repeat(",", many), false, false},
    {"nesting within the bounds", repeat("{\"a\":", 60) + "1" + repeat("}", 60), true, true},
};

} // namespace

// Guards against: a reply or a row of a few megabytes takes its parser a multiple of its bytes, or exhausts
// the stack.
TEST_CASE("JSON beyond the bounds is found, whatever it consists of")
{
    for (const auto& it : bounds_cases)
    {
        CAPTURE(it.name);
        CHECK(is_bounded_json(it.text) == it.bounded);
        CHECK(is_bounded_object(it.text) == it.object);
        CHECK(parse_bounded(it.text).is_object() == it.object);
    }
}

TEST_CASE("what can be no object is never taken for one, and no valid object is refused")
{
    const std::string valid = R"({"ver":12,"rows":[{"key":"a\\\"","value":"e30=","ver":3}],"hasMore":false})";
    std::mt19937_64 random{testing::test_seed().value};
    for (int n = 0; n < 5'000; ++n)
    {
        auto text = valid;
        const auto at = std::uniform_int_distribution<std::size_t>{0, text.size() - 1}(random);
        text[at] = static_cast<char>(std::uniform_int_distribution{0, 255}(random));
        const auto parsed = nlohmann::json::parse(text, nullptr, false);
        CAPTURE(text);
        CHECK((!parsed.is_object() || is_bounded_object(text)));
        const auto bounded = parse_bounded(text);
        CHECK(bounded.is_discarded() == parsed.is_discarded());
        CHECK((parsed.is_discarded() || bounded == parsed));
    }
}
