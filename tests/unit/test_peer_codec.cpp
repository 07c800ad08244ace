// Messages between processes: round trips, and bytes that are none.
#include "../../src/messages/peer_members.hpp"
#include "../support/any_value.hpp"
#include "masticcourse/messages/peer_message.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace masticcourse;

namespace
{

peer_message any_message(std::uint64_t seed)
{
    return tests::any_value(seed).make<peer_message>();
}

} // namespace

TEST_CASE("every message survives its encoding")
{
    CHECK(rc::check("round trip",
                    [](std::uint64_t seed)
                    {
                        const peer_message message = any_message(seed);
                        const std::string bytes = encode(message);
                        const auto decoded = decode_message(bytes);
                        RC_ASSERT(decoded.has_value());
                        RC_ASSERT(decoded->index() == message.index());
                        RC_ASSERT(encode(*decoded) == bytes);
                        if (const auto* it = std::get_if<call_finished>(&message))
                        {
                            RC_ASSERT(std::get<call_finished>(*decoded).outcome == it->outcome);
                        }
                    }));
}

TEST_CASE("bytes that are no message are refused without an exception")
{
    CHECK(rc::check("cut",
                    [](std::uint64_t seed, std::uint8_t cut)
                    {
                        const std::string bytes = encode(any_message(seed));
                        RC_ASSERT(!decode_message(bytes.substr(0, bytes.size() - 1 - cut % bytes.size())));
                    }));
    CHECK(rc::check("changed",
                    [](std::uint64_t seed, std::uint32_t at, std::uint8_t byte)
                    {
                        std::string bytes = encode(any_message(seed));
                        bytes[at % bytes.size()] = static_cast<char>(byte);
                        // Framing has no checksum (TCP has one): some other valid message may come out.
                        static_cast<void>(decode_message(bytes));
                    }));
    CHECK(rc::check("random", [](const std::string& bytes) { static_cast<void>(decode_message(bytes)); }));

    constexpr std::size_t deep = 1000000;
    CHECK_FALSE(decode_message(std::string(deep, '\x81')));
    CHECK_FALSE(decode_message("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"));
    CHECK_FALSE(decode_message(""));
    CHECK_FALSE(decode_message(encode(peer_heartbeat{}) + "x"));
}

TEST_CASE("the messages of the hot path are short")
{
    const call_ref call{.program = {std::string(16, 'p')}, .key = {std::string(8, 'k')}};
    const std::size_t payload = 16 + 8;
    CHECK(encode(call_tokens{.call = call, .sequence = 300, .text = ""}).size() <= payload + 12);
    CHECK(encode(call_finished{.call = call}).size() <= payload + 24);
}
