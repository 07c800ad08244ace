// Server-sent events: table-driven parsing with the input split at every byte, and formatting.
#include "masticcourse/net/sse.hpp"

#include <doctest/doctest.h>

#include <array>
#include <ostream>
#include <string>
#include <vector>

using namespace masticcourse;

namespace
{

using events = std::vector<sse_event>;

/// Parses @a text in two parts, split at position @a split.
events parse(std::string_view text, std::size_t split)
{
    events found;
    sse_parser parser([&found](sse_event it) { found.push_back(std::move(it)); });
    CHECK(parser.feed(text.substr(0, split)));
    CHECK(parser.feed(text.substr(split)));
    return found;
}

} // namespace

TEST_CASE("sse: parsing, split at every byte")
{
    struct row
    {
        std::string text;
        events expected;
    };
    const std::array table{
        row{"", {}},
        row{"data: a\n\n", {{.data = "a"}}},
        row{"data:a\r\n\r\n", {{.data = "a"}}},
        row{"data: a\r\r", {{.data = "a"}}},
        row{"data:  a\n\n", {{.data = " a"}}},
        row{"id: 7\nevent: token\ndata: x\n\n", {{.id = "7", .event = "token", .data = "x"}}},
        row{"data: a\ndata: b\ndata\n\n", {{.data = "a\nb\n"}}},
        row{"data: a\n\ndata: b\n\n", {{.data = "a"}, {.data = "b"}}},
        row{": comment\n\ndata: a\n\n", {{.data = "a"}}},
        row{"event: only\n\ndata: a\n\n", {{.data = "a"}}},
        row{"data\n\n", {{.data = ""}}},
        row{"data: not ended", {}},
        row{"unknown: x\ndata: a:b\n\n", {{.data = "a:b"}}},
        row{"\xEF\xBB\xBF"
            "data: a\n\n",
            {{.data = "a"}}},
        row{std::string("id: a\0b\ndata: x\n\n", 17), {{.data = "x"}}},
        row{"id:\ndata: x\n\n", {{.id = "", .data = "x"}}},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.text);
        for (std::size_t split = 0; split <= it.text.size(); ++split)
        {
            CAPTURE(split);
            CHECK(parse(it.text, split) == it.expected);
        }
    }
}

TEST_CASE("sse: formatted events round-trip through the parser")
{
    const std::array<sse_event, 4> table{sse_event{.id = "1", .event = "token", .data = "text"},
                                         sse_event{.data = ""}, sse_event{.data = "a\nb\n\nc\n"},
                                         sse_event{.event = "end", .data = " {\"a\":1}"}};
    for (const auto& it : table)
    {
        CHECK(parse(format_sse_comment("alive") + format_sse(it), 0) == events{it});
    }
}

TEST_CASE("sse: parsing stops at an event over the size limit")
{
    int count = 0;
    sse_parser parser([&count](const sse_event&) { ++count; }, 10);
    CHECK(parser.feed("data: a\n\n"));
    CHECK_FALSE(parser.feed("data: aaaaa\ndata: bbbbb"));
    CHECK_FALSE(parser.feed("\n\ndata: a\n\n"));
    CHECK(count == 1);
}
