// Detection of poison requests: who is suspected after targets have ended, alone and in crashes of many
// targets, and how the suspicions of several gateways are joined.
#include "masticcourse/gateway/gateway_request.hpp"
#include "masticcourse/gateway/poison_detection.hpp"
#include "masticcourse/gateway/poison_exchange.hpp"
#include "masticcourse/gateway/poison_messages.hpp"
#include "masticcourse/gateway/route_table.hpp"

#include "support/test_seed.hpp"
#include "support/virtual_time.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{std::chrono::hours{1}};

request_fingerprint request_number(std::uint64_t n)
{
    return {.high = n, .low = n};
}

/// One end after another, each known when the request is sent again.
void end_targets(poison_detection& detection, const request_fingerprint& request, int count, time_point now)
{
    for (int n = 0; n < count; ++n)
    {
        detection.record_end(request, detection.find(request, now), now);
    }
}

/// Targets that crash at random while requests run there, and requests that are repeated after each loss. No
/// request is at fault.
struct crashing_service
{
    static constexpr std::size_t targets = 20;
    static constexpr int attempts_each = 6;
    static constexpr int steps = 2'000;

    /// @param contents        number of different contents among the requests
    /// @param crash_share     share of the targets that crash together
    /// @param steps_per_crash steps between two crashes; a request takes 5 steps of 10 ms
    /// @return how often a request was in quarantine when it was to be sent
    int refusals(std::uint64_t contents, double crash_share, int steps_per_crash, std::uint64_t seed) const
    {
        struct running
        {
            request_fingerprint content;
            suspicion at_send;
            std::size_t target = 0;
            int ends_at = 0;
            int attempt = 0;
        };
        std::mt19937_64 random{seed};
        poison_detection detection;
        std::vector<running> work;
        int refused = 0;
        for (int step = 0; step < steps; ++step)
        {
            const auto now = start + step * 10ms;
            const auto send = [&](const request_fingerprint& content, int attempt)
            {
                if (detection.quarantine(content, now))
                {
                    ++refused;
                    return;
                }
                work.push_back({.content = content,
                                .at_send = detection.find(content, now),
                                .target = random() % targets,
                                .ends_at = step + 5,
                                .attempt = attempt});
            };
            for (int n = 0; n < 4; ++n)
            {
                send(request_number(1 + random() % contents), 1);
            }
            std::set<std::size_t> crashed;
            while (step % steps_per_crash == 0 && static_cast<double>(crashed.size()) < crash_share * targets)
            {
                crashed.insert(random() % targets);
            }
            std::vector<running> lost;
            for (const auto& it : work)
            {
                if (crashed.contains(it.target))
                {
                    detection.record_end(it.content, it.at_send, now);
                    lost.push_back(it);
                }
                else if (it.ends_at == step)
                {
                    detection.record_response(it.content, now);
                }
            }
            std::erase_if(work,
                          [&](const auto& it) { return crashed.contains(it.target) || it.ends_at == step; });
            for (const auto& it : lost)
            {
                if (it.attempt < attempts_each)
                {
                    send(it.content, it.attempt + 1);
                }
            }
        }
        return refused;
    }
};

} // namespace

TEST_CASE("a request is refused after three ends one after another, for longer after each further one, and "
          "forgotten in the end")
{
    poison_detection detection;
    const auto request = request_number(1);
    end_targets(detection, request, 2, start);
    CHECK_FALSE(detection.quarantine(request, start));
    end_targets(detection, request, 1, start);
    CHECK(detection.quarantine(request, start) == 60s);
    CHECK(detection.quarantine(request, start + 59s) == 1s);
    CHECK_FALSE(detection.quarantine(request, start + 60s));
    CHECK_FALSE(detection.quarantine(request_number(2), start));
    // One further end after the quarantine is enough.
    end_targets(detection, request, 1, start + 61s);
    CHECK(detection.quarantine(request, start + 61s) == 120s);
    const auto later = start + 61s + 120s + 60s;
    CHECK(detection.find(request, later - 1ms).ends == 4);
    CHECK(detection.find(request, later).ends == 0);
    detection.sweep(later);
    CHECK(detection.empty());
}

// Load: a popular request is under way at many targets that crash together.
TEST_CASE(
    "requests with the same content that are lost together are suspected once, and a response clears them")
{
    poison_detection detection;
    const auto popular = request_number(1);
    for (int n = 0; n < 200; ++n)
    {
        detection.record_end(popular, {}, start);
    }
    CHECK(detection.find(popular, start).ends == 1);
    const auto at_send = detection.find(popular, start);
    CHECK(detection.record_response(popular, start + 1ms));
    CHECK(detection.find(popular, start + 1ms).ends == 0);
    // Sent before that response, and lost after it: the response has cleared what was known then.
    detection.record_end(popular, at_send, start + 2ms);
    CHECK(detection.find(popular, start + 2ms).ends == 1);
    CHECK_FALSE(detection.record_response(request_number(2), start));
}

// Load: a service of three targets, all of which end under one request while others are under way at each of
// them.
TEST_CASE(
    "a content that was answered lately is not refused, whatever targets end under it, here or elsewhere")
{
    poison_detection detection;
    const auto popular = request_number(1);
    detection.record_response(popular, start);
    end_targets(detection, popular, 5, start + 1s);
    CHECK(detection.find(popular, start + 1s).ends == 2);
    CHECK_FALSE(detection.quarantine(popular, start + 1s));
    // A report from a gateway that saw no answer is not taken over in full, and is no news the second time.
    const suspicion_report report{.request = popular, .state = {.generation = 0, .ends = 4}, .age = 0ms};
    CHECK_FALSE(detection.merge(report, start + 1s));
    CHECK_FALSE(detection.quarantine(popular, start + 1s));
    // Without an answer for a while it counts like any other.
    end_targets(detection, popular, 1, start + 11s);
    CHECK(detection.quarantine(popular, start + 11s));
}

// Load: targets crash again and again, many at once, while popular and single requests are repeated.
TEST_CASE("under crashes of many targets no request is refused that is not at fault")
{
    struct row
    {
        std::uint64_t contents;
        double crash_share;
        int steps_per_crash;
    };
    // A third of the targets once a second; a half twice a second; one target five times a second.
    for (const auto& it : {row{5, 0.33, 100}, row{1'000'000, 0.33, 100}, row{5, 0.5, 50},
                           row{1'000'000, 0.5, 50}, row{5, 0.05, 20}, row{1'000'000, 0.05, 20}})
    {
        CAPTURE(it.contents);
        CAPTURE(it.crash_share);
        for (std::uint64_t seed = 0; seed < 20; ++seed)
        {
            CAPTURE(seed + test_seed().value);
            CHECK(crashing_service{}.refusals(it.contents, it.crash_share, it.steps_per_crash,
                                              seed + test_seed().value) == 0);
        }
    }
}

// Load: targets end under everything, for example after a faulty release.
TEST_CASE("requests in quarantine and requests remembered are bounded in number")
{
    poison_detection detection{{.max_quarantined = 4, .max_requests = 16}};
    for (std::uint64_t n = 0; n < 100; ++n)
    {
        end_targets(detection, request_number(n), 3, start);
        CHECK(detection.reports(1'000, start).size() <= 16);
    }
    CHECK(detection.quarantined(start) == 4);
    CHECK(detection.quarantine(request_number(0), start));
    CHECK(detection.find(request_number(99), start).ends == 2);
}

TEST_CASE("suspicions of several gateways are joined in any order, any number of times")
{
    std::mt19937_64 random{test_seed().value};
    for (int run = 0; run < 200; ++run)
    {
        constexpr std::size_t count = 8;
        std::vector<suspicion_report> reports(count);
        for (auto& it : reports)
        {
            it = {.request = request_number(random() % 2),
                  .state = {.generation = static_cast<std::uint32_t>(random() % 3),
                            .ends = static_cast<std::uint32_t>(random() % 3)},
                  .age = milliseconds{5}};
        }
        poison_detection one;
        poison_detection other;
        std::ranges::for_each(reports, [&](const auto& it) { one.merge(it, start); });
        std::ranges::shuffle(reports, random);
        reports.insert(reports.end(), reports.begin(), reports.begin() + 4);
        std::ranges::for_each(reports, [&](const auto& it) { other.merge(it, start); });
        for (const auto request : {request_number(0), request_number(1)})
        {
            CHECK(one.find(request, start) == other.find(request, start));
        }
    }
}

TEST_CASE("a quarantine that another gateway reports ends when it ends there")
{
    poison_detection first;
    end_targets(first, request_number(1), 3, start);
    poison_detection second;
    CHECK(second.merge(*first.report(request_number(1), start + 20s), start + 20s));
    CHECK(second.quarantine(request_number(1), start + 20s) == 40s);
    CHECK_FALSE(second.merge(*first.report(request_number(1), start + 30s), start + 30s));
    // A report that arrives after that time brings nothing.
    poison_detection late;
    auto report = *first.report(request_number(1), start);
    report.age = 3min;
    CHECK_FALSE(late.merge(report, start));
    CHECK(late.empty());
}

TEST_CASE("fingerprints tell contents apart and are equal for the attempts of one caller")
{
    const route plain{.name = "a", .kind = request_kind::idempotent};
    const route stream{.name = "a", .kind = request_kind::stream};
    const gateway_request base{.id = {"r1"},
                               .method = "POST",
                               .target = "/a/1",
                               .body = "input",
                               .timeout = 2s,
                               .program = program_context{.program = {"p"}, .budget = 10}};
    auto same = base;
    same.id = {"r2"};
    same.timeout = 1s;
    same.program->budget = 5;
    CHECK(fingerprint_of(base, plain) == fingerprint_of(same, plain));
    CHECK(fingerprint_of(base, stream) == fingerprint_of(same, stream));
    same.program->program = {"q"};
    CHECK(fingerprint_of(base, plain) == fingerprint_of(same, plain));
    CHECK(fingerprint_of(base, stream) != fingerprint_of(same, stream));
    const auto differs = [&](auto change)
    {
        auto changed = base;
        change(changed);
        CHECK(fingerprint_of(base, plain) != fingerprint_of(changed, plain));
    };
    differs([](auto& it) { it.workspace = {"w"}; });
    differs([](auto& it) { it.method = "PUT"; });
    differs([](auto& it) { it.target = "/a/2"; });
    differs([](auto& it) { it.body = "other"; });
    // The end of one field is not the start of the next.
    differs(
        [](auto& it)
        {
            it.target = "/a/1i";
            it.body = "nput";
        });
    CHECK(fingerprint_of(base, plain) != fingerprint_of(base, route{.name = "b"}));
    const auto text = to_string(fingerprint_of(base, plain));
    CHECK(parse_fingerprint(text) == fingerprint_of(base, plain));
    CHECK_FALSE(parse_fingerprint(text.substr(1)));
    CHECK_FALSE(parse_fingerprint("x" + text.substr(1)));
}

namespace
{

/// Gateways that tell each other what they suspect, in virtual time.
class exchanging_gateways
{
  public:
    explicit exchanging_gateways(std::size_t count)
    {
        std::vector<peer> all;
        for (std::size_t n = 0; n < count; ++n)
        {
            all.push_back({.address = address(n)});
        }
        for (std::size_t n = 0; n < count; ++n)
        {
            m_members.push_back(std::make_unique<member>(*this, n));
            m_members.back()->peers.set(all);
        }
    }

    static std::string address(std::size_t n)
    {
        return "g" + std::to_string(n);
    }

    struct member
    {
        member(exchanging_gateways& all, std::size_t number)
            : peers({.address = address(number)}, test_seed()),
              exchange({.detection = detection,
                        .peers = peers,
                        .send = [&all, number](const auto& to, auto bytes, auto on_reply)
                        { all.deliver(number, to, std::move(bytes), std::move(on_reply)); },
                        .delay = all.time.delays(),
                        .clock = all.time.clock(),
                        .self = address(number),
                        .metrics = metrics})
        {
        }

        metrics_registry metrics;
        poison_detection detection;
        peer_directory peers;
        poison_exchange exchange;
        bool silent = false;
    };

    member& operator[](std::size_t n)
    {
        return *m_members.at(n);
    }

    /// @return the number of gateways that refuse the request
    [[nodiscard]] std::size_t refusing(const request_fingerprint& request)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_members, [&](const auto& it)
                                  { return it->detection.quarantine(request, time.clock()()).has_value(); }));
    }

    virtual_time time;
    std::size_t messages = 0;

  private:
    void deliver(std::size_t from, const std::string& to, std::string bytes, peer_callback on_reply)
    {
        ++messages;
        const auto it =
            std::ranges::find_if(m_members, [&](const auto& one) { return one->peers.self_address() == to; });
        time.delays()(1ms,
                      [this, from, it, bytes = std::move(bytes), on_reply = std::move(on_reply)]
                      {
                          if ((*it)->silent || m_members[from]->silent)
                          {
                              time.delays()(300ms, [on_reply] { on_reply(std::nullopt); });
                              return;
                          }
                          auto reply = (*it)->exchange.serve(bytes);
                          time.delays()(1ms, [on_reply, reply = std::move(reply)] { on_reply(reply); });
                      });
    }

    std::vector<std::unique_ptr<member>> m_members;
};

} // namespace

// Load: the next attempt of a caller arrives at any of hundreds of gateways a few milliseconds later.
TEST_CASE(
    "news reach all gateways within a few hops, and each sends a number of messages that grows with the "
    "logarithm of their number")
{
    struct row
    {
        std::size_t gateways;
        std::chrono::milliseconds within;
        std::size_t messages_each;
    };
    for (const auto& it :
         {row{1, 0ms, 0}, row{2, 1ms, 1}, row{9, 1ms, 8}, row{60, 3ms, 11}, row{625, 8ms, 15}})
    {
        CAPTURE(it.gateways);
        exchanging_gateways all(it.gateways);
        end_targets(all[0].detection, request_number(1), 3, all.time.clock()());
        bool told = false;
        all[0].exchange.tell(request_number(1), [&] { told = true; });
        all.time.run(it.within);
        CHECK(all.refusing(request_number(1)) == it.gateways);
        all.time.run(10ms);
        CHECK(told);
        CHECK(all.messages <= it.gateways * it.messages_each);
    }
}

TEST_CASE("silent gateways neither hold up the answer nor keep the news from the others")
{
    exchanging_gateways all(40);
    for (std::size_t n = 1; n < 40; n += 3)
    {
        all[n].silent = true;
    }
    end_targets(all[0].detection, request_number(1), 3, all.time.clock()());
    bool told = false;
    all[0].exchange.tell(request_number(1), [&] { told = true; });
    all.time.run(50ms);
    CHECK(told);
    CHECK(all.refusing(request_number(1)) == 40 - 13);
    // A gateway that has just started asks others for what it has missed.
    all[1].silent = false;
    all[1].exchange.subscribe();
    all.time.run(5s);
    CHECK(all[1].detection.quarantine(request_number(1), all.time.clock()()));
}

// Guards against: a gateway that is shutting down, or has just started, still serves the attempts of a
// caller, but is not in the list of the others and is told nothing.
TEST_CASE("a gateway that is not in the list of the others is told the news once it has subscribed")
{
    exchanging_gateways all(4);
    for (std::size_t n = 0; n < 3; ++n)
    {
        all[n].peers.set({{.address = "g0"}, {.address = "g1"}, {.address = "g2"}});
    }
    end_targets(all[0].detection, request_number(1), 3, all.time.clock()());
    all[0].exchange.tell(request_number(1));
    all.time.run(10ms);
    CHECK(all.refusing(request_number(1)) == 3);
    all[3].exchange.subscribe();
    all.time.run(10ms);
    CHECK(all.refusing(request_number(1)) == 4);
    end_targets(all[0].detection, request_number(2), 3, all.time.clock()());
    bool told = false;
    all[0].exchange.tell(request_number(2), [&] { told = true; });
    all.time.run(10ms);
    CHECK(told);
    CHECK(all.refusing(request_number(2)) == 4);
}

// Guards against: of gateways that all shut down or have just started, none is in a list. The one that learns
// news from another one has to tell it what comes next.
TEST_CASE("a gateway that tells news and is not in the list is told what follows")
{
    exchanging_gateways all(2);
    all[0].peers.set({});
    end_targets(all[1].detection, request_number(1), 2, all.time.clock()());
    all[1].exchange.tell(request_number(1));
    all.time.run(10ms);
    end_targets(all[0].detection, request_number(1), 1, all.time.clock()());
    all[0].exchange.tell(request_number(1));
    all.time.run(10ms);
    CHECK(all.refusing(request_number(1)) == 2);
}

// Load: a crash of many targets gives all gateways news about many requests at once.
TEST_CASE("news that come up while a message is on the way go into the next one")
{
    constexpr std::size_t gateways = 30;
    constexpr std::uint64_t requests = 500;
    exchanging_gateways all(gateways);
    const auto now = all.time.clock()();
    for (std::uint64_t n = 0; n < requests; ++n)
    {
        auto& it = all[n % gateways];
        it.detection.record_end(request_number(n), {}, now);
        it.exchange.tell(request_number(n));
    }
    all.time.run(100ms);
    for (std::size_t n = 0; n < gateways; ++n)
    {
        CHECK(all[n].detection.reports(1'000, all.time.clock()()).size() == requests);
    }
    // Far from one message for each request, gateway and neighbour.
    CHECK(all.messages < requests * gateways / 3);
}

TEST_CASE("messages about suspected requests are decoded as sent, and refused if malformed")
{
    const suspicion_news news{
        .sender = "g1",
        .wants_all = true,
        .reports = {{.request = request_number(7), .state = {.generation = 2, .ends = 3}, .age = 5ms}}};
    const auto bytes = encode(news);
    CHECK(decode_suspicion_news(bytes) == news);
    CHECK(decode_suspicion_reply(encode(suspicion_reply{.reports = news.reports})) ==
          suspicion_reply{.reports = news.reports});
    for (std::size_t n = 0; n < bytes.size(); ++n)
    {
        CHECK_FALSE(decode_suspicion_news(bytes.substr(0, n)));
    }
    CHECK_FALSE(decode_suspicion_reply(bytes));
    const suspicion_news too_long{
        .sender = "g1",
        .reports = std::vector<suspicion_report>(max_suspicion_reports + 1, news.reports.front())};
    CHECK_FALSE(decode_suspicion_news(encode(too_long)));
}
