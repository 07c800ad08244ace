// Progress of a stream over its attempts: what is forwarded, what counts, and where a stream may end.
#include "masticcourse/gateway/stream_progress.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace masticcourse;
using gateway::stream_progress;

namespace
{

std::string numbered(int id)
{
    return format_sse({.id = std::to_string(id), .data = "e" + std::to_string(id)});
}

} // namespace

TEST_CASE(
    "a stream may end after a complete event or a comment, and nowhere else, wherever its chunks are split")
{
    struct row
    {
        const char* text;
        token_count events;
        bool inside_event;
    };
    for (const auto& it : {row{"", 0, false}, row{"data: a\n\n", 1, false}, row{"data: a\r\n\r\n", 1, false},
                           row{"data: a\r\r", 1, false}, row{"data: a\n\n: c\n", 1, false},
                           row{"data: a\n\nretry: 9\n", 1, false}, row{"data: a\n", 0, true},
                           row{"data: a", 0, true}, row{"id: 1\n", 0, true}, row{"event: e\n", 0, true},
                           row{"data: a\n\n: c", 1, true}, row{"data: a\n\ndata", 1, true}})
    {
        const std::string text = it.text;
        for (std::size_t split = 0; split <= text.size(); ++split)
        {
            CAPTURE(text);
            CAPTURE(split);
            stream_progress progress;
            auto forwarded = progress.feed(text.substr(0, split)).value_or("?");
            forwarded += progress.feed(text.substr(split)).value_or("?");
            CHECK(progress.inside_event() == it.inside_event);
            CHECK(forwarded.size() + progress.unfinished_bytes() == text.size());
            CHECK(progress.event_count() == it.events);
        }
    }
}

// Guards against: an event that is not forwarded, as a later one of its chunk is out of order, counts all the
// same and stands twice in the stored turn.
TEST_CASE("none of the events of an unusable chunk counts")
{
    stream_progress progress;
    CHECK(progress.feed(numbered(1)) == numbered(1));
    CHECK_FALSE(progress.feed(numbered(2) + numbered(1)));
    CHECK(progress.event_count() == 1);
    CHECK(progress.last_event_id() == "1");
    progress.begin_attempt(false);
    CHECK(progress.feed(numbered(2) + numbered(3)) == numbered(2) + numbered(3));
    CHECK(progress.event_count() == 3);
    CHECK(progress.event_data() == "e1\ne2\ne3\n");
}

// Guards against: the mark at the beginning of a second target's stream, forwarded in the middle of the first
// one's, becomes a part of its first field's name, and the caller loses that event's id.
TEST_CASE("a byte order mark is forwarded at the beginning of the stream and nowhere else")
{
    const std::string mark{byte_order_mark};
    stream_progress progress;
    CHECK(progress.feed(mark + ": c\n\n") == mark + ": c\n\n");
    progress.begin_attempt(true);
    CHECK(progress.feed(mark) == "");
    CHECK(progress.feed(numbered(1)) == numbered(1));
    CHECK(progress.feed(numbered(2)) == numbered(2));
    progress.begin_attempt(false);
    CHECK(progress.feed(mark + numbered(3)) == mark + numbered(3));
}
