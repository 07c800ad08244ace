// The control core of a target process, in virtual time. Each subcase names the mechanism that it guards.
#include "masticcourse/core/invariant.hpp"
#include "target_harness.hpp"

#include <doctest/doctest.h>

#include <array>

using namespace masticcourse;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

using keys = std::vector<std::string>;

call_ref ref_of(const std::string& key, const std::string& program = "p")
{
    return {.program = {program}, .key = {key}};
}

ask_call ask_for(const std::string& key, epoch_number epoch = 1)
{
    return {.call = ref_of(key), .shard = 7, .epoch = epoch};
}

dispatch_call make_action(const std::string& key, epoch_number epoch = 1)
{
    dispatch_call order = make_dispatch(key, epoch);
    order.request.idempotent = false;
    return order;
}

/// A harness with one home on link 1.
struct connected : target_harness
{
    explicit connected(target_options given = target_harness::options()) : target_harness(std::move(given))
    {
        connect(1);
    }

    void run(const std::string& key, const std::string& text)
    {
        receive(1, make_dispatch(key));
        give(engine_finished{.call = ref_of(key), .outcome = make_outcome(text)});
    }

    void run_action(const std::string& key)
    {
        receive(1, make_action(key));
        give(engine_finished{.call = ref_of(key), .outcome = make_outcome("receipt")});
    }
};

template <typename Message>
refusal_reason only_refusal(const std::vector<Message>& refusals)
{
    REQUIRE(refusals.size() == 1);
    return refusals.front().reason;
}

} // namespace

TEST_CASE("target core accepts each call once")
{
    connected target;
    SUBCASE("a duplicate of a running call gets its stream again and never runs again (gate: known calls)")
    {
        target.receive(1, make_dispatch("a"));
        target.give(engine_tokens{.call = ref_of("a"), .sequence = 0, .text = "one"});
        target.receive(1, make_dispatch("a"));
        CHECK(target.started() == keys{"a"});
        CHECK(target.sent<call_tokens>(1).size() == 2);
        CHECK(target.sent<call_tokens>(1).back().sequence == 0);
    }
    SUBCASE("a duplicate of a finished call gets its result (results: kept)")
    {
        target.run("a", "answer");
        target.receive(1, make_dispatch("a"));
        CHECK(target.started() == keys{"a"});
        REQUIRE(target.sent<call_finished>(1).size() == 2);
        CHECK(target.sent<call_finished>(1).back().outcome == make_outcome("answer"));
    }
    SUBCASE("a duplicate of a durable action never runs, and nobody says that it did not (settled calls)")
    {
        target.run_action("a");
        target.receive(1, outcome_durable{ref_of("a")});
        CHECK(target.core().counts().kept == 0);
        target.receive(1, make_action("a"));
        CHECK(target.started() == keys{"a"});
        CHECK(target.sent<call_finished>(1).back().outcome.error.ran == ran_state::unknown);
        CHECK(target.sent<call_refused>(1).empty());
    }
    SUBCASE(
        "an idempotent call may run again once its result is gone, and then never did not run (ran before)")
    {
        target.run("a", "answer");
        target.receive(1, make_dispatch("b"));
        target.receive(1, make_dispatch("c"));
        target.receive(1, outcome_durable{ref_of("a")});
        auto order = make_dispatch("a");
        order.remaining = 100ms;
        target.receive(1, order);
        target.pass(100ms);
        CHECK(target.sent<call_finished>(1).back().outcome.error.id == problem_id::deadline_passed);
        CHECK(target.sent<call_finished>(1).back().outcome.error.ran == ran_state::yes);
    }
    SUBCASE(
        "an idempotent call that could not be run may be tried again, an action may not (gate: try again)")
    {
        const call_outcome unreachable{.error = {.id = problem_id::target_failed, .ran = ran_state::no}};
        for (const auto& order : {make_dispatch("a"), make_action("action")})
        {
            target.receive(1, order);
            target.give(engine_finished{.call = order.call, .outcome = unreachable});
            target.receive(1, order);
        }
        CHECK(target.started() == keys{"a", "a", "action"});
        CHECK(target.sent<call_finished>(1).size() == 3);
        CHECK(target.core().counts().kept == 1);
    }
    SUBCASE("no second run begins before the target has let go of the first (gate: ending)")
    {
        auto order = make_dispatch("a");
        order.remaining = 100ms;
        target.receive(1, order);
        target.pass(5s);
        target.receive(1, outcome_durable{ref_of("a")});
        target.receive(1, make_dispatch("a"));
        CHECK(target.started() == keys{"a"});
        CHECK(only_refusal(target.sent<call_refused>(1)) == refusal_reason::overloaded);
        target.give(engine_finished{.call = ref_of("a"), .outcome = make_outcome("late")});
        target.receive(1, make_dispatch("a"));
        CHECK(target.started() == keys{"a", "a"});
    }
    SUBCASE("never seen is a promise (gate: ask settles)")
    {
        target.receive(1, ask_for("a"));
        REQUIRE(target.sent<call_answer>(1).size() == 1);
        CHECK(target.sent<call_answer>(1).front().knowledge == call_knowledge::never_seen);
        target.receive(1, make_dispatch("a"));
        CHECK(target.started().empty());
        CHECK(only_refusal(target.sent<call_refused>(1)) == refusal_reason::duplicate);
    }
    SUBCASE("an older epoch is refused everywhere (gate: fence)")
    {
        target.connect(2, "entry-2/a");
        target.receive(2, make_dispatch("new", 2));
        target.receive(1, make_dispatch("old", 1));
        target.receive(1, ask_for("new", 1));
        target.receive(1, collect_shard{.shard = 7, .epoch = 1});
        CHECK(only_refusal(target.sent<call_refused>(1)) == refusal_reason::stale_epoch);
        CHECK(target.sent<call_answer>(1).front().knowledge == call_knowledge::stale_epoch);
        CHECK(target.sent<kept_results>(1).front().epoch == 2);
        CHECK(target.started() == keys{"new"});
        // Nor can the old home meddle with the new one's call.
        target.receive(1, cancel_call{ref_of("new")});
        target.receive(1, release_program{.program = {"p"}, .shard = 7, .epoch = 1});
        CHECK(target.outputs<engine_cancel>().empty());
    }
    SUBCASE("what a home wrote on a link that it gave up is not read any more (peers: older links)")
    {
        target.connect(2);
        CHECK(target.outputs<close_peer>().size() == 1);
        target.receive(1, make_dispatch("a"));
        CHECK(target.started().empty());
    }
    SUBCASE("another service's call is refused (gate: service)")
    {
        auto order = make_dispatch("a");
        order.request.service = {"field-app"};
        target.receive(1, order);
        CHECK(only_refusal(target.sent<call_refused>(1)) == refusal_reason::unknown_service);
    }
}

TEST_CASE("target core queues")
{
    auto given = target_harness::options();
    given.max_queue = 1;
    connected target{given};
    SUBCASE("no more run than the target takes, and a full queue refuses with a time (calls: admission)")
    {
        for (const auto* key : {"a", "b", "c", "d"})
        {
            target.receive(1, make_dispatch(key));
        }
        CHECK(target.started() == keys{"a", "b"});
        CHECK(only_refusal(target.sent<call_refused>(1)) == refusal_reason::overloaded);
        CHECK(target.sent<call_refused>(1).front().retry_after >= 100ms);
        target.give(engine_finished{.call = ref_of("a"), .outcome = make_outcome("x")});
        CHECK(target.started() == keys{"a", "b", "c"});
        // A refusal is no verdict on the call: it may come again.
        target.receive(1, make_dispatch("d"));
        CHECK(target.core().counts().queued == 1);
    }
    SUBCASE("the prompt goes to the engine whole, the input last, with the order number (calls: start)")
    {
        auto order = make_dispatch("a", 5);
        order.prompt = {"first", "second"};
        target.receive(1, order);
        REQUIRE(target.outputs<engine_start>().size() == 1);
        CHECK(target.outputs<engine_start>().front().prompt == keys{"first", "second", "input of a"});
        CHECK(target.outputs<engine_start>().front().order == 5);
    }
    SUBCASE("tokens go to the home in order, duplicates of them don't (calls: sequence)")
    {
        target.receive(1, make_dispatch("a"));
        for (const std::uint64_t n : {0U, 1U, 1U, 2U})
        {
            target.give(engine_tokens{.call = ref_of("a"), .sequence = n, .text = std::to_string(n)});
        }
        std::string text;
        for (const auto& it : target.sent<call_tokens>(1))
        {
            text += it.text;
        }
        CHECK(text == "012");
    }
}

TEST_CASE("target core keeps deadlines")
{
    struct row
    {
        const char* name;
        bool idempotent;
        bool running;
        ran_state ran;
    };
    constexpr std::array table{
        row{"queued", true, false, ran_state::no}, row{"queued action", false, false, ran_state::no},
        row{"running", true, true, ran_state::yes}, row{"running action", false, true, ran_state::unknown}};
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        connected target;
        if (!it.running)
        {
            target.receive(1, make_dispatch("x"));
            target.receive(1, make_dispatch("y"));
        }
        auto order = make_dispatch("a");
        order.request.idempotent = it.idempotent;
        order.remaining = 300ms;
        target.receive(1, order);
        target.pass(299ms);
        CHECK(target.sent<call_finished>(1).empty());
        target.pass(1ms);
        REQUIRE(target.sent<call_finished>(1).size() == 1);
        const problem error = target.sent<call_finished>(1).front().outcome.error;
        CHECK(error.id == problem_id::deadline_passed);
        CHECK(error.ran == it.ran);
        CHECK(target.outputs<engine_cancel>().size() == (it.running ? 1 : 0));
        // The target's place is not given away before the target has let go of it.
        CHECK(target.core().counts().running == (it.running ? 1 : 2));
        target.pass(3s);
        CHECK(target.core().counts().running == (it.running ? 0 : 2));
    }
    SUBCASE("a deadline that has passed on arrival never runs (systems: deadlines before starts)")
    {
        connected target;
        auto order = make_dispatch("a");
        order.remaining = 0ms;
        target.receive(1, order);
        CHECK(target.started().empty());
        CHECK(target.sent<call_finished>(1).front().outcome.error.ran == ran_state::no);
    }
}

TEST_CASE("target core cancels")
{
    connected target;
    SUBCASE("a result that crosses the cancel stands (calls: cancelling)")
    {
        target.receive(1, make_dispatch("a"));
        target.receive(1, cancel_call{ref_of("a")});
        CHECK(target.sent<call_finished>(1).empty());
        target.give(engine_finished{.call = ref_of("a"), .outcome = make_outcome("whole")});
        REQUIRE(target.sent<call_finished>(1).size() == 1);
        CHECK(target.sent<call_finished>(1).front().outcome == make_outcome("whole"));
    }
    SUBCASE("a backend that does not confirm is given up on (calls: grace)")
    {
        target.receive(1, make_dispatch("a"));
        target.receive(1, cancel_call{ref_of("a")});
        target.pass(2s);
        REQUIRE(target.sent<call_finished>(1).size() == 1);
        CHECK(target.sent<call_finished>(1).front().outcome.error.id == problem_id::cancelled);
        CHECK(target.core().counts().running == 0);
    }
    SUBCASE("a running action is not cut short (calls: unstoppable)")
    {
        target.receive(1, make_action("a"));
        target.receive(1, cancel_call{ref_of("a")});
        CHECK(target.outputs<engine_cancel>().empty());
    }
    SUBCASE("a waiting call ends at once and did not run (calls: queued)")
    {
        for (const auto* key : {"a", "b", "c"})
        {
            target.receive(1, make_action(key));
        }
        target.receive(1, cancel_call{ref_of("c")});
        CHECK(target.sent<call_finished>(1).front().outcome.error.ran == ran_state::no);
    }
}

TEST_CASE("target core keeps results for whoever is home")
{
    auto given = target_harness::options();
    given.kept_result_limit = 2;
    given.kept_bytes_limit = 200;
    connected target{given};
    SUBCASE("a result that nobody took is there for the same home on a new link (results: ask)")
    {
        target.receive(1, make_action("a"));
        target.give(peer_closed{1});
        target.give(engine_finished{.call = ref_of("a"), .outcome = make_outcome("receipt")});
        target.connect(2);
        target.receive(2, ask_for("a"));
        REQUIRE(target.sent<call_answer>(2).size() == 1);
        CHECK(target.sent<call_answer>(2).front().knowledge == call_knowledge::finished);
        CHECK(target.sent<call_answer>(2).front().outcome == make_outcome("receipt"));
    }
    SUBCASE("a home that comes back hears of what still runs without asking (peers: hello attaches)")
    {
        target.receive(1, make_action("a"));
        target.give(peer_closed{1});
        target.connect(2);
        target.give(engine_finished{.call = ref_of("a"), .outcome = make_outcome("receipt")});
        CHECK(target.sent<call_finished>(2).size() == 1);
    }
    SUBCASE("a result never goes to another process on a link of the same number (peers: closed detaches)")
    {
        target.receive(1, make_action("a"));
        target.give(peer_closed{1});
        target.connect(1, "entry-2/a");
        target.give(engine_finished{.call = ref_of("a"), .outcome = make_outcome("receipt")});
        CHECK(target.sent<call_finished>(1).empty());
    }
    SUBCASE("a successor collects results, and streams from their beginning (gate: collect)")
    {
        target.run("a", "answer");
        target.receive(1, make_dispatch("b"));
        target.give(engine_tokens{.call = ref_of("b"), .sequence = 0, .text = "one"});
        target.connect(2, "entry-2/a");
        target.receive(2, collect_shard{.shard = 7, .epoch = 2});
        REQUIRE(target.sent<kept_results>(2).size() == 1);
        const kept_results kept = target.sent<kept_results>(2).front();
        REQUIRE(kept.results.size() == 1);
        CHECK(kept.results.front().outcome == make_outcome("answer"));
        REQUIRE(kept.in_progress.size() == 1);
        CHECK(kept.in_progress.front().call == ref_of("b"));
        CHECK(target.sent<call_tokens>(2).size() == 1);
        target.clear();
        target.give(engine_finished{.call = ref_of("b"), .outcome = make_outcome("rest")});
        CHECK(target.sent<call_finished>(1).empty());
        CHECK(target.sent<call_finished>(2).size() == 1);
    }
    SUBCASE("a home that was replaced can't have a result forgotten (results: whose word counts)")
    {
        target.run("a", "answer");
        target.connect(2, "entry-2/a");
        target.receive(2, collect_shard{.shard = 7, .epoch = 2});
        target.receive(1, outcome_durable{ref_of("a")});
        CHECK(target.core().counts().kept == 1);
        target.receive(2, outcome_durable{ref_of("a")});
        CHECK(target.core().counts().kept == 0);
    }
    SUBCASE("a result of another history is not handed out, but an action's is (gate: other turn)")
    {
        for (auto order : {make_dispatch("a"), make_action("action")})
        {
            target.receive(1, order);
            target.give(engine_finished{.call = order.call, .outcome = make_outcome("of turn 0")});
            order.turn_number = 1;
            target.receive(1, order);
        }
        CHECK(target.started() == keys{"a", "a", "action"});
        CHECK(target.sent<call_finished>(1).size() == 3);
        CHECK(target.sent<call_finished>(1).back().outcome == make_outcome("of turn 0"));
    }
    SUBCASE("at the limit new calls are refused and results stay (gate: room)")
    {
        target.run("a", "1");
        target.run("b", "2");
        target.receive(1, make_dispatch("c"));
        CHECK(only_refusal(target.sent<call_refused>(1)) == refusal_reason::overloaded);
        target.receive(1, outcome_durable{ref_of("a")});
        target.receive(1, make_dispatch("d"));
        CHECK(target.started() == keys{"a", "b", "d"});
        CHECK(target.core().counts().kept == 1);
    }
    SUBCASE("bytes are bounded too (gate: room)")
    {
        target.run("a", std::string(300, 'x'));
        target.receive(1, make_dispatch("b"));
        CHECK(only_refusal(target.sent<call_refused>(1)) == refusal_reason::overloaded);
    }
    SUBCASE("a result is given up after long, never to run again (results: expiry)")
    {
        target.run_action("a");
        target.pass(given.kept_result_time + 1s);
        CHECK(target.core().counts().kept == 0);
        target.receive(1, ask_for("a"));
        CHECK(target.sent<call_answer>(1).back().outcome.error.ran == ran_state::unknown);
        target.receive(1, make_action("a"));
        CHECK(target.started() == keys{"a"});
    }
}

TEST_CASE("target core remembers what must not run again")
{
    auto given = target_harness::options();
    given.settled_limit = 2;
    connected target{given};
    for (const auto* key : {"a", "b", "c"})
    {
        target.receive(1, ask_for(key));
    }
    SUBCASE("for the minimum time, also over the limit (settled calls: minimum)")
    {
        target.pass(given.settled_time - 1s);
        target.receive(1, make_action("a"));
        CHECK(target.started().empty());
        CHECK(only_refusal(target.sent<call_refused>(1)) == refusal_reason::duplicate);
    }
    SUBCASE("and takes nothing new until there is room to remember it (gate: settled full)")
    {
        target.receive(1, make_action("d"));
        CHECK(only_refusal(target.sent<call_refused>(1)) == refusal_reason::overloaded);
        target.pass(given.settled_time);
        target.receive(1, make_action("d"));
        CHECK(target.started() == keys{"d"});
    }
}

TEST_CASE("target core leases engine memory")
{
    connected target;
    const auto renew = [&target](link_id link)
    { target.receive(link, renew_programs{.programs = {{"p"}}, .lease = 10s}); };
    SUBCASE("a renewed program keeps its memory (leases: renewal)")
    {
        target.run("a", "answer");
        for (int n = 0; n < 5; ++n)
        {
            target.pass(5s);
            renew(1);
        }
        CHECK(target.outputs<engine_free>().empty());
    }
    SUBCASE("a lapse frees memory and cancels streams, but no action (leases: lapse)")
    {
        target.receive(1, make_dispatch("stream"));
        target.receive(1, make_action("action"));
        target.pass(11s);
        REQUIRE(target.outputs<engine_cancel>().size() == 1);
        CHECK(target.outputs<engine_cancel>().front().call == ref_of("stream"));
        CHECK(target.outputs<engine_free>().front().program == program_id{"p"});
        CHECK(target.core().counts().programs == 0);
    }
    SUBCASE("a release frees at once, and again when the stream has let go (leases: release)")
    {
        target.run_action("action");
        target.receive(1, make_dispatch("a"));
        target.receive(1, release_program{.program = {"p"}, .shard = 7, .epoch = 1});
        CHECK(target.outputs<engine_cancel>().size() == 1);
        CHECK(target.outputs<engine_free>().size() == 1);
        target.give(
            engine_finished{.call = ref_of("a"), .outcome = {.error = {.id = problem_id::cancelled}}});
        CHECK(target.outputs<engine_free>().size() == 2);
        CHECK(target.core().counts().kept == 0);
        // A renewal that crosses the release brings nothing back.
        renew(1);
        CHECK(target.core().counts().programs == 0);
        target.receive(1, make_action("action"));
        CHECK(target.started() == keys{"action", "a"});
    }
    SUBCASE("a home that lost its shard can't renew (leases: who may renew)")
    {
        target.connect(2, "entry-2/a");
        target.run("a", "answer");
        target.receive(2, collect_shard{.shard = 7, .epoch = 2});
        for (int n = 0; n < 3; ++n)
        {
            renew(1);
            target.pass(5s);
        }
        CHECK(target.outputs<engine_free>().size() == 1);
    }
    SUBCASE("what the engine holds for nobody is freed, but not before homes could renew (leases: listing)")
    {
        const engine_listing listing{{{.program = {"gone"}, .tokens = 10}}};
        target.pass(9s);
        target.give(listing);
        CHECK(target.outputs<engine_free>().empty());
        target.pass(2s);
        target.give(listing);
        REQUIRE(target.outputs<engine_free>().size() == 1);
        CHECK(target.outputs<engine_free>().front().program == program_id{"gone"});
        CHECK(target.outputs<engine_list_request>().size() >= 2);
    }
    SUBCASE("a pause of this process lapses nothing that was renewed meanwhile (peers: pause)")
    {
        target.run("a", "answer");
        target.pass(250ms);
        target_core& core = target.core();
        const auto out = core.step({}, core.next_wakeup() + 30s);
        CHECK(std::ranges::none_of(out, [](const target_output& it)
                                   { return std::holds_alternative<engine_free>(it); }));
        CHECK(core.counts().links == 1);
    }
}

TEST_CASE("target core drains")
{
    connected target;
    target.receive(1, make_dispatch("a"));
    target.receive(1, make_dispatch("b"));
    target.receive(1, make_dispatch("c"));
    target.clear();
    target.give(stop_requested{});
    SUBCASE("waiting calls are handed back, new ones refused, all hear of it at once (drain: leave)")
    {
        CHECK(only_refusal(target.sent<call_refused>(1)) == refusal_reason::leaving);
        CHECK(target.sent<target_load>(1).back().leaving);
        CHECK(target.sent<peer_heartbeat>(1).back().leaving);
        target.clear();
        target.receive(1, make_dispatch("d"));
        CHECK(only_refusal(target.sent<call_refused>(1)) == refusal_reason::leaving);
    }
    SUBCASE("running calls finish, and their results become durable first (drain: idle)")
    {
        for (const auto* key : {"a", "b"})
        {
            CHECK(target.outputs<ready_to_stop>().empty());
            target.give(engine_finished{.call = ref_of(key), .outcome = make_outcome("x")});
            CHECK(target.outputs<ready_to_stop>().empty());
            target.receive(1, outcome_durable{ref_of(key)});
        }
        CHECK(target.outputs<engine_cancel>().empty());
        CHECK(target.outputs<ready_to_stop>().size() == 1);
        target.pass(1s);
        CHECK(target.outputs<ready_to_stop>().size() == 1);
    }
    SUBCASE("a drain ends (drain: bound)")
    {
        target.pass(59s);
        CHECK(target.outputs<ready_to_stop>().empty());
        target.pass(2s);
        CHECK(target.outputs<ready_to_stop>().size() == 1);
    }
}

TEST_CASE("target core on the platform's list as leaving")
{
    connected target;
    target.give(marked_leaving{});
    target.receive(1, make_dispatch("a"));
    CHECK(only_refusal(target.sent<call_refused>(1)) == refusal_reason::leaving);
    target.pass(70s);
    CHECK(target.outputs<ready_to_stop>().empty());
}

TEST_CASE("target core and its peers")
{
    connected target;
    SUBCASE("heartbeats go out on every link (peers: heartbeats)")
    {
        target.connect(2, "entry-2/a");
        target.clear();
        target.pass(1s);
        CHECK(target.sent<peer_heartbeat>(1).size() == 4);
        CHECK(target.sent<peer_heartbeat>(2).size() == 4);
    }
    SUBCASE("a link that goes silent is closed, others stay (peers: silence)")
    {
        target.connect(2, "entry-2/a");
        target.fall_silent(2);
        target.pass(1400ms);
        CHECK(target.outputs<close_peer>().empty());
        target.pass(200ms);
        REQUIRE(target.outputs<close_peer>().size() == 1);
        CHECK(target.outputs<close_peer>().front().link == 2);
        CHECK(target.core().counts().links == 1);
    }
    SUBCASE("the newest configuration stays, whoever sends an older one (peers: configuration)")
    {
        target.receive(1, peer_heartbeat{.config = 3});
        CHECK(target.sent<config_request>(1).size() == 1);
        target.receive(1, config_reply{.version = 3, .document = "three"});
        target.receive(1, config_reply{.version = 2, .document = "two"});
        CHECK(target.core().config().document == "three");
        target.receive(1, config_request{.newer_than = 2});
        REQUIRE(target.sent<config_reply>(1).size() == 1);
        CHECK(target.sent<config_reply>(1).front().version == 3);
        target.receive(1, config_request{.newer_than = 3});
        CHECK(target.sent<config_reply>(1).size() == 1);
    }
    SUBCASE("peers hear who is alive (peers: liveness)")
    {
        target.connect(2, "entry-2/a");
        target.receive(1, liveness_ask{{"entry-2/a"}});
        target.receive(1, liveness_ask{{"entry-2/b"}});
        CHECK(target.sent<liveness_answer>(1).front().heard);
        CHECK_FALSE(target.sent<liveness_answer>(1).back().heard);
    }
    SUBCASE("the store is reached for a peer that can't (peers: relay)")
    {
        target.receive(1, relay_store{.id = 44, .operation = table_get{.key = "row"}});
        REQUIRE(target.outputs<run_store_op>().size() == 1);
        const auto id = target.outputs<run_store_op>().front().id;
        target.give(store_done{.id = id, .reply = {.status = store_status::unavailable}});
        REQUIRE(target.sent<relay_reply>(1).size() == 1);
        CHECK(target.sent<relay_reply>(1).front().id == 44);
        target.pass(250ms);
        CHECK_FALSE(target.sent<peer_heartbeat>(1).back().store_reachable);
    }
}

TEST_CASE("target core reports")
{
    connected target;
    SUBCASE("load on a period when it changes, slower when not (reports: period)")
    {
        target.pass(3s);
        target.clear();
        target.pass(3s);
        CHECK(target.sent<target_load>(1).size() == 3);
        target.clear();
        target.receive(1, make_dispatch("a"));
        target.pass(250ms);
        REQUIRE_FALSE(target.sent<target_load>(1).empty());
        CHECK(target.sent<target_load>(1).back().running == 1);
        CHECK(target.sent<target_load>(1).back().queued_decode == 8);
    }
    SUBCASE("speeds are measured from finished calls (reports: rates)")
    {
        target.receive(1, make_dispatch("a"));
        target.pass(100ms);
        target.give(engine_tokens{.call = ref_of("a"), .sequence = 0, .text = "one"});
        target.pass(190ms);
        target.give(engine_finished{.call = ref_of("a"), .outcome = make_outcome("x")});
        CHECK(target.core().load().prefill_rate == doctest::Approx(600));
        // One sequence decodes 100 a second; the target takes two.
        CHECK(target.core().load().decode_rate == doctest::Approx(200));
    }
    SUBCASE("cache held and dropped go to the home; a new link hears all (reports: cache)")
    {
        target.run("a", "x");
        target.pass(250ms);
        REQUIRE_FALSE(target.sent<target_cache>(1).empty());
        REQUIRE(target.sent<target_cache>(1).back().held.size() == 1);
        CHECK(target.sent<target_cache>(1).back().held.front().tokens == 120);
        target.connect(2, "entry-2/a");
        REQUIRE(target.sent<target_cache>(2).size() == 1);
        CHECK(target.sent<target_cache>(2).front().held.size() == 1);
        target.receive(1, release_program{.program = {"p"}, .shard = 7, .epoch = 1});
        target.pass(250ms);
        CHECK(target.sent<target_cache>(1).back().dropped == std::vector{program_id{"p"}});
    }
    SUBCASE("the listing corrects what was believed (leases: listing)")
    {
        target.run("a", "x");
        target.give(engine_listing{{{.program = {"p"}, .tokens = 64}}});
        target.pass(250ms);
        CHECK(target.sent<target_cache>(1).back().held.front().tokens == 64);
    }
}

TEST_CASE("invariants are counted")
{
    const auto previous = set_invariant_handler([](std::string_view, const std::source_location&) {});
    const auto before = invariant_violations();
    MASTICCOURSE_INVARIANT(1 + 1 == 2, "sums");
    CHECK(invariant_violations() == before);
    MASTICCOURSE_INVARIANT(1 + 1 == 3, "sums");
    CHECK(invariant_violations() == before + 1);
    set_invariant_handler(previous);
}
