// Journal entries: round trips, and damage that is always reported.
#include "../../src/state/journal_members.hpp"
#include "../support/any_value.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace masticcourse;

namespace
{

journal_entry any_entry(std::uint64_t seed)
{
    return tests::any_value(seed).make<journal_entry>();
}

} // namespace

TEST_CASE("every entry survives its encoding")
{
    CHECK(rc::check("round trip",
                    [](std::uint64_t seed)
                    {
                        const auto entry = any_entry(seed);
                        const auto decoded = decode_entry(encode(entry));
                        RC_ASSERT(decoded.damage == journal_damage::none);
                        RC_ASSERT(decoded.entry == entry);
                    }));
}

TEST_CASE("every flipped bit is damage")
{
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U})
    {
        const std::string good = encode(any_entry(seed));
        for (std::size_t bit = 0; bit < good.size() * 8; ++bit)
        {
            std::string bytes = good;
            bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ static_cast<char>(1U << (bit % 8)));
            const auto decoded = decode_entry(bytes);
            REQUIRE(decoded.damage != journal_damage::none);
            REQUIRE(decoded.entry == journal_entry{});
        }
    }
}

TEST_CASE("every truncation and every tail is damage")
{
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
    {
        const std::string good = encode(any_entry(seed));
        for (std::size_t size = 0; size < good.size(); ++size)
        {
            REQUIRE(decode_entry(good.substr(0, size)).damage == journal_damage::truncated);
        }
        CHECK(decode_entry(good + '\0').damage == journal_damage::truncated);
    }
}

TEST_CASE("keys sort in order of index")
{
    const incarnation_id journal{"entry-1.abc"};
    CHECK(journal_key(journal, 9) < journal_key(journal, 10));
    CHECK(journal_key(journal, 99) < journal_key(journal, 1000000));
    CHECK(journal_key(journal, 1) == "journal/entry-1.abc/00000000000000000001");
}
