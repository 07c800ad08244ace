// Target performance: time factors of targets, the typical target of a service, and expected output.
#include "masticcourse/gateway/scheduling/target_performance.hpp"
#include "support/test_seed.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <limits>
#include <optional>
#include <random>
#include <string>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

constexpr duration token_time = 2'590us;
constexpr time_point start{1'000s};

target_instance make_target(int n, seconds started = 1s)
{
    return {{"i-" + std::to_string(n)}, wall_time{started}};
}

/// @return the values in turn
template <std::size_t Size>
double cycle(const std::array<double, Size>& values, int n)
{
    return values.at(static_cast<std::size_t>(n) % Size);
}

duration scaled(duration time, double factor)
{
    return std::chrono::duration_cast<duration>(time * factor);
}

void record_stream(target_performance& service, int n, double factor, time_point now,
                   std::optional<double> reported = std::nullopt)
{
    service.record_stream(make_target(n),
                          {.first_event = scaled(40ms, factor),
                           .output_time = scaled(token_time * 100, factor),
                           .output_tokens = 100,
                           .time_factor = reported},
                          now);
}

/// @return a service whose targets 0 to 4 have had @a samples streams each at the usual speed
target_performance make_service(int samples = 4)
{
    target_performance service;
    for (int n = 0; n < samples * 5; ++n)
    {
        record_stream(service, n % 5, 1, start);
    }
    return service;
}

double factor_of(const target_performance& service, int n, time_point now)
{
    return service.time_factor(make_target(n), now);
}

} // namespace

TEST_CASE("targets that are 0.7 and 1.7 times as slow as their peers are told apart after few samples")
{
    std::mt19937_64 random{test_seed().value};
    std::uniform_real_distribution<double> noise{0.85, 1.15};
    constexpr std::array factors{0.7, 1.0, 1.0, 1.0, 1.7};
    target_performance streams;
    target_performance plain;
    for (int n = 0; n < 25; ++n)
    {
        const auto at = start + n * 50ms;
        const auto factor = cycle(factors, n) * noise(random);
        record_stream(streams, n % 5, factor, at);
        // The kinds of request differ in length by a factor of ten.
        const bool is_long = n % 2 == 0;
        plain.record_response(make_target(n % 5), is_long ? "long" : "short",
                              scaled(is_long ? 200ms : 20ms, factor), at);
    }
    for (const auto* const service : {&streams, &plain})
    {
        const auto fast = factor_of(*service, 0, start + 2s);
        const auto slow = factor_of(*service, 4, start + 2s);
        CHECK(fast < 0.93);
        CHECK(slow > 1.25);
        for (int n = 1; n < 4; ++n)
        {
            const auto usual = factor_of(*service, n, start + 2s);
            CHECK(usual == doctest::Approx(1).epsilon(0.15));
            CHECK(fast < usual);
            CHECK(usual < slow);
        }
        CHECK(factor_of(*service, 9, start + 2s) == 1);
    }
    CHECK(std::abs(streams.profile().output_token / 1.0us - 2'590) < 260);
    CHECK(std::abs(streams.profile().first_event / 1.0ms - 40) < 6);
    CHECK(target_performance{}.profile().response == 0ms);
}

TEST_CASE("a target is not judged by a single sample, however far off")
{
    auto service = make_service();
    record_stream(service, 7, 40, start);
    CHECK(factor_of(service, 7, start) > 1.3);
    CHECK(factor_of(service, 7, start) < 3);
    CHECK(service.profile().output_token == token_time);
    // A stream of one event says little about the time of a token.
    service.record_stream(make_target(8), {.output_time = 13ms, .output_tokens = 1}, start);
    CHECK(factor_of(service, 8, start) < 1.2);
}

TEST_CASE("a slow phase seen only in samples raises the estimate, which then recovers")
{
    auto service = make_service();
    for (int n = 0; n < 3; ++n)
    {
        record_stream(service, 0, 2.5, start + n * 200ms);
    }
    CHECK(factor_of(service, 0, start + 600ms) > 1.4);
    auto avoided = service;
    CHECK(factor_of(avoided, 0, start + 10min) < 1.1);
    for (int n = 0; n < 10; ++n)
    {
        record_stream(service, 0, 1, start + 1s + n * 200ms);
    }
    CHECK(factor_of(service, 0, start + 3s) < 1.2);
}

TEST_CASE("a reported factor counts for 600 ms, then the mean of the target's reports")
{
    target_performance service;
    CHECK_FALSE(service.reports_time_factors(start));
    for (int n = 0; n < 20; ++n)
    {
        service.report_time_factor(make_target(0), 1, start + n * 1s);
    }
    const auto slow = start + 20s;
    // Many responses within one slow phase are one observation.
    for (int n = 0; n < 30; ++n)
    {
        service.report_time_factor(make_target(0), 2.5, slow + n * 10ms);
    }
    CHECK(factor_of(service, 0, slow + 890ms) == 2.5);
    CHECK(factor_of(service, 0, slow + 900ms) > 1);
    CHECK(factor_of(service, 0, slow + 900ms) < 1.25);
    // Reports passed on by other gateways may be older than the gateway's own.
    service.report_time_factor(make_target(0), 0.5, slow);
    CHECK(factor_of(service, 0, slow + 600ms) == 2.5);
    CHECK(service.reports_time_factors(slow + 5s));
    CHECK_FALSE(service.reports_time_factors(slow + 1min));
    // A single report in a slow phase doesn't mark the target as slow.
    service.report_time_factor(make_target(1), 2.5, slow);
    CHECK(factor_of(service, 1, slow + 1s) < 1.8);
}

TEST_CASE("invalid reports are ignored, and extreme ones are limited")
{
    target_performance service;
    for (const auto factor : {0.0, -1.0, std::nan(""), std::numeric_limits<double>::infinity()})
    {
        service.report_time_factor(make_target(0), factor, start);
    }
    CHECK_FALSE(service.reports_time_factors(start));
    CHECK(factor_of(service, 0, start) == 1);
    service.report_time_factor(make_target(0), 1e9, start);
    CHECK(factor_of(service, 0, start) == 10);
    service.report_time_factor(make_target(0), 1e-9, start);
    CHECK(factor_of(service, 0, start) == 0.2);
}

TEST_CASE("samples of reporting targets don't count a slow phase twice, and show what reports leave out")
{
    auto service = make_service();
    for (int n = 0; n < 20; ++n)
    {
        const auto at = start + n * 1s;
        service.report_time_factor(make_target(0), 2.5, at);
        record_stream(service, 0, 2.5, at, 2.5);
        // Reports only its slow phases, not that it is always slower than its peers.
        service.report_time_factor(make_target(1), 1, at);
        record_stream(service, 1, 1.7, at, 1);
        // Fails to report.
        record_stream(service, 2, 1.7, at);
    }
    const auto now = start + 19s;
    CHECK(factor_of(service, 0, now) == 2.5);
    CHECK(factor_of(service, 1, now) == doctest::Approx(1.7).epsilon(0.1));
    CHECK(factor_of(service, 2, now) == doctest::Approx(1.7).epsilon(0.1));
    CHECK(service.profile().output_token == token_time);
}

TEST_CASE("with short slow phases, estimates are exact while a report is fresh and close to the mean later")
{
    std::mt19937_64 random{test_seed().value};
    constexpr int targets = 46;
    constexpr int rounds = 60;
    constexpr std::array base{0.7, 1.0, 1.7};
    constexpr double phase_factor = 2.5;
    constexpr double mean_phase = 1 + 0.15 * (phase_factor - 1);
    std::bernoulli_distribution slow{0.15};
    std::uniform_real_distribution<double> overlap{0, 1};
    target_performance service;
    int inexact = 0;
    for (int n = 0; n < targets * rounds; ++n)
    {
        const auto speed = cycle(base, n % targets);
        const auto reported = speed * (slow(random) ? phase_factor : 1);
        // The phase changes within the stream.
        const auto later = speed * (slow(random) ? phase_factor : 1);
        const auto share = overlap(random);
        const auto now = start + n * 50ms;
        service.report_time_factor(make_target(n % targets), reported, now);
        record_stream(service, n % targets, share * reported + (1 - share) * later, now, reported);
        inexact += std::abs(factor_of(service, n % targets, now) - reported) > 0.01 ? 1 : 0;
    }
    CHECK(inexact < targets * rounds / 50);
    for (int n = 0; n < targets; ++n)
    {
        CAPTURE(n);
        const auto mean = cycle(base, n) * mean_phase;
        CHECK(factor_of(service, n, start + 10min) == doctest::Approx(mean).epsilon(0.4));
    }
}

TEST_CASE("a restarted instance starts clean, and late samples of the earlier instance are ignored")
{
    auto service = make_service();
    for (int n = 0; n < 8; ++n)
    {
        record_stream(service, 4, 1.7, start);
    }
    const auto restarted = make_target(4, 2s);
    CHECK(service.time_factor(restarted, start) == 1);
    service.report_time_factor(restarted, 1, start + 1s);
    record_stream(service, 4, 1.7, start + 1s);
    CHECK(service.time_factor(restarted, start + 1s) == 1);
    CHECK(factor_of(service, 4, start + 1s) == 1);

    target_table registry;
    registry.put({.id = {"i-0"}, .started = wall_time{1s}});
    registry.put({.id = {"i-4"}, .started = wall_time{3s}});
    service.retain(registry);
    CHECK(service.size() == 1);
}

TEST_CASE("with 900 targets, the medians are computed at intervals, not for each request or sample")
{
    target_performance service;
    for (int n = 0; n < 20'000; ++n)
    {
        record_stream(service, n % 900, n % 3 == 0 ? 1.7 : 1, start + n * 500us);
        CHECK(factor_of(service, 0, start + n * 500us) < 2);
    }
    // 10 s at four a second, and once for each doubling of the number of samples.
    CHECK(service.typical_updates() <= 40 + 15);
    CHECK(factor_of(service, 3, start + 10s) > 1.5);
    for (int n = 0; n < 10'000; ++n)
    {
        service.record_response(make_target(n), std::to_string(n), 10ms, start + 10s);
    }
    CHECK(service.size() <= 4'096);
}

TEST_CASE("expected output follows what requests of a kind generate, as far as hints predict it")
{
    struct row
    {
        const char* kind;
        /// Actual output relative to its median, and the standard deviation of the logarithms of hints.
        double bias;
        double spread;
        token_count hint;
        double expected;
    };
    constexpr std::array table{
        row{"good hints", 1, 0.05, 400, 400},
        row{"half of the hint", 0.5, 0.05, 400, 200},
        row{"random hints", 1, 1.5, 2'000, 140},
    };
    std::mt19937_64 random{test_seed().value};
    std::lognormal_distribution<double> length{std::log(100), 0.5};
    for (const auto& it : table)
    {
        CAPTURE(it.kind);
        target_performance service;
        CHECK(service.expected_output(it.kind, it.hint, 3'000) == it.hint);
        std::lognormal_distribution<double> error{0, it.spread};
        for (int n = 0; n < 300; ++n)
        {
            const auto usual = length(random);
            service.record_output(it.kind, std::llround(std::max(1.0, usual * error(random))),
                                  std::llround(usual * it.bias));
        }
        const auto expected = static_cast<double>(service.expected_output(it.kind, it.hint, 3'000));
        CHECK(expected == doctest::Approx(it.expected).epsilon(0.3));
        CHECK(service.expected_output(it.kind, it.hint, 50) <= 50);
        CHECK(service.expected_output("other", std::nullopt, 50) == 50);
        CHECK(service.expected_output(it.kind, std::nullopt, 0) > 0);
    }
    target_performance service;
    service.record_output("k", 0, 100);
    service.record_output("k", 100, -1);
    CHECK(service.expected_output("k", 70, 280) == 70);
    CHECK(service.expected_output("k", -1, 0) == 0);
}
