// Which headers make a response for the HTTP client, and which do not: those that others could understand
// otherwise, in their meaning or in their end.
#include "../../src/net/response_check.hpp"

#include "masticcourse/net/http_client.hpp"

#include "net_fixture.hpp"
#include "scripted_server.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::testing;

namespace
{

const std::string whole_body = "Content-Length: 2\r\n\r\nok";
const std::string ok_line = "HTTP/1.1 200 OK\r\n";

/// @return a response that is whole but for the header field @a line
std::string with_field(const std::string& line)
{
    return ok_line + "X-First: 1\r\n" + line + "\r\n" + whole_body;
}

/// @return a response whose first header field is @a line
std::string with_first_field(const std::string& line)
{
    return ok_line + line + "\r\n" + whole_body;
}

std::string with_status(const std::string& status)
{
    return "HTTP/1.1 " + status + " X\r\n" + whole_body;
}

std::string framed(const std::string& fields, const std::string& body = "2\r\nok\r\n0\r\n\r\n")
{
    return ok_line + fields + "\r\n\r\n" + body;
}

const std::vector<std::string> no_responses{
    with_status("000"),
    with_status("001"),
    with_status("099"),
    with_status("600"),
    with_status("999"),
    with_status("101"),
    with_status("20"),
    with_status("2000"),
    with_status("-20"),
    "HTTP/2.0 200 OK\r\n" + whole_body,
    "HTTP/0.9 200 OK\r\n" + whole_body,
    "HTTP/9.1 200 OK\r\n" + whole_body,
    "HTTP/1.1  200 OK\r\n" + whole_body,
    "ICY 200 OK\r\n" + whole_body,
    "\r\n" + ok_line + whole_body,
    with_field("X A: 1"),
    with_field("X\tA: 1"),
    with_field("X\x01"
               "A: 1"),
    with_field("X\x7f"
               "A: 1"),
    with_field("X\x80"
               "A: 1"),
    with_field(std::string{"X\0A: 1", 6}),
    with_field("X-A : 1"),
    with_field("X-A\t: 1"),
    with_field(" X-A: 1"),
    with_field("\tX-A: 1"),
    with_field(" "),
    with_first_field(" X-A: 1"),
    with_first_field("\tX-A: 1"),
    with_field(": 1"),
    with_field("X-A"),
    with_field("X(A): 1"),
    with_field("X-A: \x01"),
    with_field("X-A: a\x7f"),
    with_field(std::string{"X-A: a\0b", 8}),
    with_field("X-A: a\rX-B: b"),
    with_field("X-A: a\nX-B: b"),
    framed("Transfer-Encoding: gzip, chunked"),
    framed("Transfer-Encoding: chunked, chunked"),
    framed("Transfer-Encoding: chunked, identity"),
    framed("Transfer-Encoding: gzip"),
    framed("Transfer-Encoding: identity"),
    framed("Transfer-Encoding: xchunked"),
    framed("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked"),
    framed("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
    framed("Transfer-Encoding: "),
    framed("Transfer-Encoding: chunked\r\nContent-Length: 2"),
    framed("Content-Length: 2\r\nTransfer-Encoding: chunked"),
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nok" + ok_line + whole_body,
    framed("Content-Length: 2\r\nContent-Length: 3", "oks"),
    framed("Content-Length: 2, 3", "oks"),
    framed("Content-Length: +2", "ok"),
    framed("Content-Length: -2", "ok"),
    framed("Content-Length: 0x2", "ok"),
    framed("Content-Length: 2 2", "ok"),
    framed("Content-Length: ", "ok"),
    framed("Content-Length: 99999999999999999999999", "ok"),
};

struct served_response
{
    std::string bytes;
    int status = 200;
    std::string body = "ok";
};

const std::vector<served_response> served_responses{
    served_response{with_status("200")},
    served_response{"HTTP/1.1 200 \r\n" + whole_body},
    served_response{with_status("299"), 299},
    served_response{with_status("418"), 418},
    served_response{with_status("599"), 599},
    served_response{"HTTP/1.0 200 OK\r\n" + whole_body},
    served_response{"HTTP/1.0 200 OK\r\n\r\nok"},
    served_response{ok_line + "\r\nok"},
    served_response{with_field("!#$%&'*+-.^_`|~0aZ: v")},
    served_response{with_field("X-A:")},
    served_response{with_field("X-A:  a\tb \t")},
    served_response{with_field("X-A: \xe4\xff")},
    served_response{with_field("X-A: :;,\"()<>@[]{}?=")},
    served_response{framed("Transfer-Encoding: chunked")},
    served_response{framed("transfer-encoding: CHUNKED")},
    served_response{
        framed("Transfer-Encoding: chunked", "1;a=b;c=\"d e\"\r\no\r\n1\r\nk\r\n0;x\r\nX-T: 1\r\n\r\n")},
    served_response{"HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
    served_response{"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204, ""},
    served_response{"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304, ""},
    served_response{"HTTP/1.1 100 Continue\r\n\r\n" + ok_line + whole_body},
    served_response{"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" +
                    ok_line + whole_body},
    served_response{ok_line + "Content-Length: 8\r\n\r\no\r\n k\r\n\t", 200, "o\r\n k\r\n\t"},
};

} // namespace

// Guards against: a target in trouble sends what is no response, and its caller gets it as one.
TEST_CASE("http client: a header that others could understand otherwise makes no response")
{
    for (const auto& bytes : no_responses)
    {
        CAPTURE(bytes);
        const scripted_server server{{{bytes, connection_end::close}}};
        io_threads threads;
        http_client client{threads.context()};
        bool head_seen = false;
        const auto reply = fetch(client, {.address = loopback(server.port()),
                                          .on_head = [&](const http_client_reply&) { head_seen = true; }});
        CHECK(reply.failure == http_failure::broken);
        CHECK(reply.status == 0);
        CHECK_FALSE(reply.body_report.error.empty());
        CHECK_FALSE(head_seen);
        threads.stop();
    }
}

TEST_CASE("http client: unusual but valid responses are served as they are")
{
    for (const auto& it : served_responses)
    {
        CAPTURE(it.bytes);
        const scripted_server server{{{it.bytes, connection_end::close}}};
        io_threads threads;
        http_client client{threads.context()};
        const auto reply = fetch(client, {.address = loopback(server.port())});
        CHECK(reply.failure == http_failure::none);
        CHECK(reply.status == it.status);
        CHECK(reply.body == it.body);
        threads.stop();
    }
}

// Guards against: interim responses without end in place of a response.
TEST_CASE("http client: only a few interim responses are read")
{
    std::string bytes;
    for (int n = 0; n < 100; ++n)
    {
        bytes += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    const scripted_server server{{{bytes + ok_line + whole_body, connection_end::keep}}};
    io_threads threads;
    http_client client{threads.context()};
    CHECK(fetch(client, {.address = loopback(server.port())}).failure == http_failure::broken);
    threads.stop();
}

TEST_CASE("a folded line of a header is found wherever its parts are split, and only in the header")
{
    struct row
    {
        std::string text;
        bool folded;
    };
    for (const auto& it :
         {row{"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", false}, row{"HTTP/1.1 200 OK\r\n A: b\r\n\r\n", true},
          row{"HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n\r\n", true},
          row{"HTTP/1.1 200 OK\r\nA:\r\n \r\n\r\n", true},
          row{"HTTP/1.1 200 OK\r\nA: b\r\n\r\n c\r\n d", false}})
    {
        for (std::size_t split = 0; split <= it.text.size(); ++split)
        {
            CAPTURE(it.text);
            CAPTURE(split);
            detail::folded_line_search search;
            search.feed(it.text.substr(0, split));
            search.feed(it.text.substr(split));
            CHECK(search.found() == it.folded);
        }
    }
}
