// Input that nests as deep as it is long must not reach the parser of CBOR, which calls itself for each
// level.
#include "../../src/codec/cbor_nesting.hpp"

#include "support/test_seed.hpp"
#include "support/text.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <random>
#include <string>
#include <vector>

using namespace masticcourse;
using codec::has_bounded_nesting;
using codec::is_bounded_message;
using testing::repeat;

namespace
{

constexpr std::size_t deep = 1'000'000;

std::string encode(const nlohmann::json& document)
{
    std::string bytes;
    nlohmann::json::to_cbor(document, bytes);
    return bytes;
}

/// Arrays of random lengths, nested at most @a levels deep.
template <typename Random>
nlohmann::json make_document(int levels, Random& random)
{
    const auto length = std::uniform_int_distribution{0, 40}(random);
    auto result = nlohmann::json::array();
    for (int n = 0; n < length; ++n)
    {
        const bool nests = levels > 0 && std::bernoulli_distribution{0.1}(random);
        result.push_back(
            nests ? make_document(levels - 1, random)
                  : nlohmann::json{{"key", std::string(static_cast<std::size_t>(n), 'x')}, {"n", n}});
    }
    return result;
}

/// @return whether the parser comes to an end
bool parses_or_throws(const std::string& bytes)
{
    try
    {
        return nlohmann::json::from_cbor(bytes).size() <= bytes.size();
    }
    catch (const nlohmann::json::exception&)
    {
        return true;
    }
}

struct nesting_case
{
    const char* name;
    std::string bytes;
    bool bounded;
};

const std::vector<nesting_case> nesting_cases{
    {"arrays", repeat("\x81", deep), false},
    {"arrays of two", repeat("\x82", deep), false},
    {"arrays whose end is marked", repeat("\x9f", deep), false},
    {"maps", repeat("\xa1\x60", deep), false},
    {"byte strings whose end is marked", std::string(deep, '\x5f'), false},
    {"text strings whose end is marked", repeat("\x7f", deep), false},
    {"arrays behind a long text", "\x82" + encode(std::string(5'000, 'x')) + repeat("\x81", deep), false},
    {"a long array of short ones", "\x9f" + repeat("\x82\x01\x80", deep) + "\xff", true},
    {"a text", encode(std::string(deep, '\x81')), true},
    {"arrays after an end", repeat("\x9f\xff", deep), true},
    {"a cut length", repeat("\x01", 1'000) + "\x9b\x01", true},
    {"an array longer than all input", "\x9b\xff\xff\xff\xff\xff\xff\xff\xff" + repeat("\x01", 1'000), true},
    {"a map longer than all input", "\xbb\xff\xff\xff\xff\xff\xff\xff\xff" + repeat("\x01", 1'000), true},
    {"a text longer than all input", "\x7b\xff\xff\xff\xff\xff\xff\xff\xff" + repeat("\x81", 1'000), true},
};

} // namespace

TEST_CASE("nesting beyond that of any message is found, whatever it consists of")
{
    for (const auto& it : nesting_cases)
    {
        CAPTURE(it.name);
        CHECK(has_bounded_nesting(it.bytes) == it.bounded);
    }
}

TEST_CASE("messages of bounded nesting are let through, and no input stops the check")
{
    std::mt19937_64 random{testing::test_seed().value};
    for (int n = 0; n < 200; ++n)
    {
        auto bytes = encode(make_document(8, random));
        CHECK(has_bounded_nesting(bytes));
        const auto at = std::uniform_int_distribution<std::size_t>{0, bytes.size() - 1}(random);
        bytes[at] = static_cast<char>(std::uniform_int_distribution{0, 255}(random));
        // What is let through is safe to parse.
        if (has_bounded_nesting(bytes))
        {
            CHECK(parses_or_throws(bytes));
        }
    }
}

// Guards against: a message of a few megabytes whose items take the parser a multiple of its bytes.
TEST_CASE("a message of more items than any has is found, whatever they are")
{
    constexpr std::size_t many = 1'000'000;
    for (const auto* item : {"\x80", "\xa0", "\x01", R"(`)", "\xf6"})
    {
        CAPTURE(item);
        CHECK_FALSE(is_bounded_message("\x9f" + repeat(item, many) + "\xff"));
        CHECK(is_bounded_message("\x9f" + repeat(item, many / 100) + "\xff"));
    }
    CHECK_FALSE(is_bounded_message(repeat("\x81", deep)));
    CHECK(is_bounded_message(encode(std::string(many, 'x'))));
}
