// Tests of the path to the store while it rejects some gateways, is slow, unresponsive or down for all.
#include "masticcourse/gateway/store_path.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace masticcourse::gateway;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1'000s};

} // namespace

TEST_CASE("a rejected gateway relays calls through peers, and calls directly again after one answer")
{
    store_path path;
    CHECK(path.direct());
    path.on_direct(hop_result::rejected, 1ms, start, false);
    CHECK_FALSE(path.direct());
    CHECK(path.reachable());
    path.on_direct(hop_result::answered, 5ms, start + 1s, true);
    CHECK(path.direct());
}

TEST_CASE("a missing answer triggers a probe; only an unanswered probe marks the direct path as down")
{
    store_path path;
    path.on_direct(hop_result::no_response, 400ms, start, false);
    CHECK(path.direct());
    CHECK(path.begin_probe(start));
    CHECK_FALSE(path.begin_probe(start));
    path.on_direct(hop_result::no_response, 250ms, start, true);
    CHECK_FALSE(path.direct());
}

TEST_CASE("a path without calls is probed after a while; calls and probes put it off")
{
    store_path path;
    const probe_intervals intervals{.while_down = 250ms, .while_idle = 5s};
    CHECK_FALSE(path.begin_probe(start, intervals));
    path.on_direct(hop_result::answered, 5ms, start, false);
    CHECK_FALSE(path.begin_probe(start + 4s, intervals));
    path.on_direct(hop_result::answered, 5ms, start + 4s, false);
    CHECK_FALSE(path.begin_probe(start + 6s, intervals));
    CHECK(path.begin_probe(start + 9s, intervals));
    CHECK_FALSE(path.begin_probe(start + 10s, intervals));
}

TEST_CASE("the call timeout grows up to a limit while the store is slow, and shrinks when it is fast again")
{
    store_path path;
    const auto initial = path.call_timeout();
    for (int n = 0; n < 10; ++n)
    {
        path.on_direct(hop_result::no_response, initial, start, false);
    }
    CHECK(path.call_timeout() == 2'500ms);
    for (int n = 0; n < 100; ++n)
    {
        path.on_direct(hop_result::answered, 10ms, start, false);
    }
    CHECK(path.call_timeout() <= initial);
    CHECK(path.call_timeout() >= 300ms);
}

TEST_CASE("rate-limited calls count as an outage only after several in a row")
{
    store_path path;
    for (int n = 0; n < 4; ++n)
    {
        path.on_direct(hop_result::rate_limited, 1ms, start, false);
    }
    path.on_direct(hop_result::answered, 5ms, start, false);
    CHECK(path.direct());
    for (int n = 0; n < 5; ++n)
    {
        path.on_direct(hop_result::rate_limited, 1ms, start, false);
    }
    CHECK_FALSE(path.direct());
}

TEST_CASE("the store is unreachable only if no peer reaches it either")
{
    store_path path;
    path.on_direct(hop_result::rejected, 1ms, start, false);
    CHECK(path.reachable());
    path.on_peers_failed(start);
    CHECK_FALSE(path.reachable());
    path.on_relayed();
    CHECK(path.reachable());
}

TEST_CASE("the failure-free time is counted from the last failure")
{
    store_path path;
    CHECK(path.time_since_failure(start) > 10s);
    path.on_direct(hop_result::rejected, 1ms, start, false);
    CHECK(path.time_since_failure(start + 2s) == duration{2s});
}
