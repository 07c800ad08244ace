// Messages between gateways that were cut off.
#include "masticcourse/gateway/collected_rows.hpp"
#include "masticcourse/gateway/commit_router.hpp"
#include "masticcourse/gateway/feed/feed_messages.hpp"
#include "masticcourse/gateway/overdraft.hpp"
#include "masticcourse/gateway/quota/quota_messages.hpp"
#include "masticcourse/gateway/scheduling/load_messages.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;

namespace
{

struct message_kind
{
    const char* name;
    std::string bytes;
    /// Whether the receiver accepts the bytes as a message.
    std::function<bool(const std::string&)> accepts;
};

stored_row make_row()
{
    return {.name = {.table = "t", .key = "k"}, .value = "value", .version = 300};
}

std::vector<message_kind> message_kinds()
{
    const load_summary summary{.collector_incarnation = "1",
                               .gateways = 3,
                               .version = 7,
                               .demand = {{.service = {"s"}, .waiting = 2}}};
    return {
        {"results of commits",
         encode_results({{.outcome = store_outcome::conflict, .version = 300, .current = make_row()}}),
         [](const auto& bytes) { return decode_results(bytes).has_value(); }},
        {"rows", encode_rows({make_row()}), [](const auto& bytes) { return decode_rows(bytes).has_value(); }},
        {"feed", encode(relay_reply{.rows = {make_row()}, .version = 300}),
         [](const auto& bytes) { return decode_relay_reply(bytes, "t").has_value(); }},
        {"grant of an overdraft", encode_grant(500),
         [](const auto& bytes) { return decode_grant(bytes).has_value(); }},
        {"grant of a quota", encode(grant_response{slice_grant{}}),
         [](const auto& bytes) { return decode_grant_response(bytes).has_value(); }},
        {"refusal of a quota", encode(grant_response{not_holder{}}),
         [](const auto& bytes) { return decode_grant_response(bytes).has_value(); }},
        {"summary of the load", encode(summary),
         [](const auto& bytes) { return decode_load_summary(bytes).has_value(); }},
    };
}

} // namespace

// Guards against: a gateway fails in the middle of a reply without length or chunks, and its peer takes the
// cut reply for a whole one.
TEST_CASE("no reply between gateways that was cut off anywhere, or has bytes after its end, is accepted")
{
    for (const auto& it : message_kinds())
    {
        CAPTURE(it.name);
        CHECK(it.accepts(it.bytes));
        for (std::size_t size = 0; size < it.bytes.size(); ++size)
        {
            CAPTURE(size);
            CHECK_FALSE(it.accepts(it.bytes.substr(0, size)));
        }
        CHECK_FALSE(it.accepts(it.bytes + '\0'));
    }
}
