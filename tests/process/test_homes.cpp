// The home of programs dies, sleeps or is shut down, as real processes.
#include "agent.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <future>
#include <string>

using namespace masticcourse;
using namespace masticcourse::tests;
using nlohmann::json;

namespace
{

std::string entry_name(std::size_t index)
{
    return "entry-" + std::to_string(index);
}

} // namespace

TEST_CASE("SIGKILL of the home between turns: the other entry has the whole history, an action ran once")
{
    deployment d;
    const auto program = create_program_at(d, 0);
    const auto model = ask_until_ok(d, call_request_of(d, 0, program, {.key = "k1"}));
    const auto tool = ask_until_ok(d, call_request_of(d, 1, program, {.key = "k2", .tool = true}));
    const auto before = history_at(d, 0, program);
    REQUIRE(before.at("history").size() == 2);

    const auto home = home_of(d, program);
    const auto other = 1 - home;
    d.process(entry_name(home)).kill();

    REQUIRE(history_at(d, other, program).at("history") == before.at("history"));
    const auto again = ask_until_ok(d, call_request_of(d, other, program, {.key = "k2", .tool = true}));
    REQUIRE(body_of(again).at("output") == body_of(tool).at("output"));
    REQUIRE(runs_of(d, program, "k2") == 1);
    REQUIRE(home_of(d, program) == other);
}

TEST_CASE("SIGSTOP of the home until the other took over: the woken entry tells the truth")
{
    deployment d;
    const auto program = create_program_at(d, 0);
    ask_until_ok(d, call_request_of(d, 0, program, {.key = "k1"}));
    const auto home = home_of(d, program);
    const auto other = 1 - home;
    d.process(entry_name(home)).signal(SIGSTOP);
    ask_until_ok(d, call_request_of(d, other, program, {.key = "k2"}));
    ask_until_ok(d, call_request_of(d, other, program, {.key = "k3", .tool = true}));
    const auto truth = history_at(d, other, program).at("history");
    REQUIRE(truth.size() == 3);

    // Sent while it sleeps: it answers these first, with the state it slept with.
    auto early = d.send(history_request(d, home, program));
    auto early_action = d.send(call_request_of(d, home, program, {.key = "k3", .tool = true}));
    d.process(entry_name(home)).signal(SIGCONT);
    const auto first = early.get();
    if (first.status == 200)
    {
        REQUIRE(body_of(first).at("history") == truth);
    }
    else
    {
        REQUIRE(first.status == 503);
    }
    const auto action = early_action.get();
    REQUIRE((action.status == 200 || action.status == 503));
    REQUIRE(history_at(d, home, program).at("history") == truth);
    ask_until_ok(d, call_request_of(d, home, program, {.key = "k3", .tool = true}));
    REQUIRE(runs_of(d, program, "k3") == 1);
}
