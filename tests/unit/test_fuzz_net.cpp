// Property-based tests of the parsers of untrusted input.
#include "masticcourse/net/frame.hpp"
#include "masticcourse/net/percent.hpp"
#include "masticcourse/net/sse.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace masticcourse;

namespace
{

using pieces = std::vector<std::string>;

std::string concatenate(const pieces& parts)
{
    std::string all;
    std::ranges::for_each(parts, [&all](const auto& it) { all += it; });
    return all;
}

/// The output of a parser, and whether it accepted the whole input.
template <typename Item>
struct parse_result
{
    std::vector<Item> items;
    bool ok = true;

    friend bool operator==(const parse_result&, const parse_result&) = default;
};

parse_result<sse_event> parse_events(const pieces& parts, std::size_t max_event)
{
    parse_result<sse_event> result;
    sse_parser parser([&result](sse_event it) { result.items.push_back(std::move(it)); }, max_event);
    std::ranges::for_each(parts, [&](const auto& it) { result.ok = parser.feed(it); });
    return result;
}

parse_result<std::string> decode_frames(const pieces& parts, std::size_t max_frame)
{
    parse_result<std::string> result;
    frame_decoder decoder(max_frame);
    const auto on_frame = [&result](std::string it) { result.items.push_back(std::move(it)); };
    std::ranges::for_each(parts, [&](const auto& it) { result.ok = decoder.feed(it, on_frame); });
    return result;
}

/// Generates a mix of event stream syntax and arbitrary text.
rc::Gen<std::string> sse_text()
{
    return rc::gen::map(
        rc::gen::container<pieces>(rc::gen::oneOf(
            rc::gen::element<std::string>("data: ", "data:", "id: ", "event: ", ":", "\n", "\r", "\r\n", "x"),
            rc::gen::arbitrary<std::string>())),
        concatenate);
}

std::string encode_frames(const pieces& payloads)
{
    std::string bytes;
    for (const auto& it : payloads)
    {
        const auto header = make_frame_header(it.size());
        bytes.append(header.begin(), header.end()).append(it);
    }
    return bytes;
}

} // namespace

TEST_CASE("fuzz: parsed events do not depend on how the input is split")
{
    CHECK(rc::check(
        []
        {
            const auto parts = *rc::gen::container<pieces>(sse_text());
            constexpr std::size_t no_limit = 1'000'000;
            RC_ASSERT(parse_events(parts, no_limit) == parse_events({concatenate(parts)}, no_limit));
        }));
}

TEST_CASE("fuzz: no parsed event exceeds the size limit")
{
    CHECK(rc::check(
        []
        {
            const auto limit = *rc::gen::inRange<std::size_t>(0, 20);
            const auto result = parse_events(*rc::gen::container<pieces>(sse_text()), limit);
            RC_ASSERT(
                std::ranges::all_of(result.items, [=](const auto& it) { return it.data.size() <= limit; }));
        }));
}

TEST_CASE("fuzz: formatted events round-trip through the parser")
{
    CHECK(rc::check(
        [](const std::vector<int>& lines)
        {
            sse_event event{.id = "7", .event = "token"};
            for (const int it : lines)
            {
                event.data += std::to_string(it) + '\n';
            }
            const auto result = parse_events({format_sse(event)}, 1'000'000);
            RC_ASSERT(result.items == std::vector<sse_event>{event});
        }));
}

TEST_CASE("fuzz: decoded frames do not depend on how the input is split")
{
    CHECK(rc::check(
        [](const pieces& payloads)
        {
            const auto bytes = encode_frames(payloads);
            const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
            const parse_result<std::string> expected{payloads};
            RC_ASSERT(decode_frames({bytes.substr(0, cut), bytes.substr(cut)}, 1000) == expected);
        }));
}

TEST_CASE("fuzz: no frame decoded from arbitrary input exceeds the size limit")
{
    CHECK(rc::check(
        []
        {
            const auto limit = *rc::gen::inRange<std::size_t>(0, 300);
            const auto parts = *rc::gen::arbitrary<pieces>();
            const auto result = decode_frames(parts, limit);
            RC_ASSERT(std::ranges::all_of(result.items, [=](const auto& it) { return it.size() <= limit; }));
            RC_ASSERT(result == decode_frames({concatenate(parts)}, limit));
        }));
}

TEST_CASE("fuzz: percent-encoding round-trips, and decoding tolerates arbitrary input")
{
    CHECK(rc::check(
        [](const std::string& text)
        {
            RC_ASSERT(percent_decode(percent_encode(text)) == text);
            (void)percent_decode(text);
            (void)query_value(text, "a");
        }));
}
