// Tests of identifiers, problems, token estimates and request digests.
#include "masticcourse/core/ids.hpp"
#include "masticcourse/core/problem.hpp"
#include "masticcourse/model/call.hpp"

#include <doctest/doctest.h>

#include <array>

using namespace masticcourse;

TEST_CASE("shard_of")
{
    SUBCASE("is less than the shard count and deterministic")
    {
        for (const auto* name : {"a", "b", "program-17"})
        {
            const program_id id{name};
            CHECK(shard_of(id, 64) < 64);
            CHECK(shard_of(id, 64) == shard_of(id, 64));
        }
    }
}

TEST_CASE("problems have statuses and titles")
{
    struct row
    {
        problem_id id;
        int status;
    };
    constexpr std::array table{row{problem_id::unknown_program, 404}, row{problem_id::overloaded, 503},
                               row{problem_id::version_conflict, 412}, row{problem_id::body_too_large, 413}};
    for (const auto& it : table)
    {
        CHECK(http_status(it.id) == it.status);
        CHECK_FALSE(title_of(it.id).empty());
    }
}

TEST_CASE("estimate_tokens counts words")
{
    struct row
    {
        const char* text;
        token_count tokens;
    };
    constexpr std::array table{row{"", 0}, row{"  ", 0}, row{"one", 1}, row{" one  two\nthree ", 3}};
    for (const auto& it : table)
    {
        CHECK(estimate_tokens(it.text) == it.tokens);
    }
}

TEST_CASE("digest_of distinguishes different bodies")
{
    call_request a{.key = {"k"}, .service = {"s"}, .input = "x", .max_tokens = 3};
    call_request b = a;
    CHECK(digest_of(a) == digest_of(b));
    b.input = "y";
    CHECK(digest_of(a) != digest_of(b));
}
