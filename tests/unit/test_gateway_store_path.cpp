// Which way calls to the store take while it turns some gateways away, is slow, silent, or gone for all.
#include "masticcourse/gateway/store_path.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace masticcourse::gateway;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1'000s};

} // namespace

TEST_CASE("a gateway that is turned away goes through peers, and directly again after one good answer")
{
    store_path path;
    CHECK(path.direct());
    path.on_direct(hop_result::rejected, 1ms, start, false);
    CHECK_FALSE(path.direct());
    CHECK(path.reachable());
    path.on_direct(hop_result::answered, 5ms, start + 1s, true);
    CHECK(path.direct());
}

TEST_CASE("one answer that does not come is looked into; only a silent probe closes the direct way")
{
    store_path path;
    path.on_direct(hop_result::no_response, 400ms, start, false);
    CHECK(path.direct());
    CHECK(path.begin_probe(start));
    CHECK_FALSE(path.begin_probe(start));
    path.on_direct(hop_result::no_response, 250ms, start, true);
    CHECK_FALSE(path.direct());
}

TEST_CASE("a slow store is given more time, up to a bound, and less again when it is fast")
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

TEST_CASE("refusals for the rate are no outage until they are all that comes")
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

TEST_CASE("the store is away only when no peer reaches it either")
{
    store_path path;
    path.on_direct(hop_result::rejected, 1ms, start, false);
    CHECK(path.reachable());
    path.on_peers_failed(start);
    CHECK_FALSE(path.reachable());
    path.on_relayed();
    CHECK(path.reachable());
}

TEST_CASE("how long the store has been steady counts from the last failure")
{
    store_path path;
    CHECK(path.time_since_failure(start) > 10s);
    path.on_direct(hop_result::rejected, 1ms, start, false);
    CHECK(path.time_since_failure(start + 2s) == duration{2s});
}
