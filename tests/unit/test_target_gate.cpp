// Random interleavings at the gate of a target process: no action starts twice, and no promise is broken.
#include "target_harness.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <set>

using namespace masticcourse;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t script_size = 200;

/// One random event, read from one random number.
struct event_source
{
    std::uint32_t bits;

    std::uint32_t take(std::uint32_t below)
    {
        const std::uint32_t n = bits % below;
        bits /= below;
        return n;
    }

    call_ref take_ref()
    {
        return {.program = {"p" + std::to_string(take(2))}, .key = {"k" + std::to_string(take(4))}};
    }
};

/// What all random runs together have covered.
struct coverage
{
    std::size_t starts = 0;
    std::size_t promises = 0;
    std::size_t resent = 0;
};

/// Plays events against a core, and a target that finishes calls at random.
class random_run
{
  public:
    explicit random_run(coverage& covered) : m_target(small_target()), m_covered(covered)
    {
        m_target.connect(1);
        m_target.connect(2, "entry-2/a");
    }

    void play(event_source event)
    {
        const std::uint32_t kind = event.take(12);
        const link_id link = 1 + event.take(2);
        const epoch_number epoch = 1 + event.take(2);
        const call_ref ref = event.take_ref();
        // Two programs of one shard, so that epochs meet.
        switch (kind)
        {
        case 0:
            m_target.receive(link, ask_call{.call = ref, .shard = 7, .epoch = epoch});
            break;
        case 1:
            m_target.receive(link, collect_shard{.shard = 7, .epoch = epoch});
            break;
        case 2:
            m_target.receive(link, cancel_call{ref});
            break;
        case 3:
            m_target.receive(link, outcome_durable{ref});
            break;
        case 4:
            m_target.receive(link, release_program{.program = ref.program, .shard = 7, .epoch = epoch});
            break;
        case 5:
            m_target.receive(link, renew_programs{.programs = {ref.program}, .lease = 2s});
            break;
        case 6:
            m_target.pass(std::array<core_duration, 3>{50ms, 400ms, 12s}.at(event.take(3)));
            break;
        case 7:
            end_one(event.take(8), event.take(2) == 0);
            break;
        case 8:
            m_target.give(peer_closed{link});
            m_target.connect(link, "entry-" + std::to_string(link) + "/a");
            break;
        default:
            dispatch(link, ref, epoch, event);
            break;
        }
        check();
    }

  private:
    static target_options small_target()
    {
        target_options given = target_harness::options();
        given.max_queue = 2;
        given.kept_result_limit = 5;
        given.kept_result_time = 10s;
        return given;
    }

    static bool is_idempotent(const call_ref& ref)
    {
        return ref.key.value == "k0";
    }

    void dispatch(link_id link, const call_ref& ref, epoch_number epoch, event_source& event)
    {
        dispatch_call order = make_dispatch(ref.key.value, epoch, ref.program.value);
        order.request.idempotent = is_idempotent(ref);
        if (event.take(2) == 0)
        {
            order.remaining = 300ms;
        }
        m_target.receive(link, order);
    }

    void end_one(std::uint32_t which, bool well)
    {
        if (m_at_target.empty())
        {
            return;
        }
        const auto steps = static_cast<std::ptrdiff_t>(which % m_at_target.size());
        const call_ref ref = m_at_target.extract(std::next(m_at_target.begin(), steps)).value();
        call_outcome lost{.error = {.id = problem_id::outcome_unknown, .ran = ran_state::unknown}};
        m_target.give(engine_finished{.call = ref, .outcome = well ? make_outcome(ref.key.value) : lost});
    }

    void check()
    {
        for (const auto& it : m_target.outputs<engine_start>())
        {
            // An idempotent call may run again, but never beside itself.
            RC_ASSERT(m_started.insert(it.call).second || is_idempotent(it.call));
            RC_ASSERT(!m_promised.contains(it.call));
            RC_ASSERT(m_at_target.insert(it.call).second);
            m_covered.starts += 1;
        }
        for (const link_id link : {1U, 2U})
        {
            check_messages(link);
        }
        m_target.clear();
    }

    void check_messages(link_id link)
    {
        for (const auto& it : m_target.sent<call_answer>(link))
        {
            if (it.knowledge == call_knowledge::never_seen)
            {
                promise(it.call);
            }
        }
        for (const auto& it : m_target.sent<call_refused>(link))
        {
            RC_ASSERT(!m_started.contains(it.call) || is_idempotent(it.call));
        }
        for (const auto& it : m_target.sent<call_finished>(link))
        {
            m_covered.resent += m_started.contains(it.call) ? 1 : 0;
            if (it.outcome.error.failed() && it.outcome.error.ran == ran_state::no)
            {
                take_not_run(it.call);
            }
            if (!it.outcome.error.failed())
            {
                RC_ASSERT(it.outcome.output == it.call.key.value);
            }
        }
    }

    /// An idempotent call that could not be run may be tried again, an action may not.
    void take_not_run(const call_ref& ref)
    {
        RC_ASSERT(!m_started.contains(ref));
        if (!is_idempotent(ref))
        {
            promise(ref);
        }
    }

    void promise(const call_ref& ref)
    {
        RC_ASSERT(!m_started.contains(ref));
        m_promised.insert(ref);
        m_covered.promises += 1;
    }

    target_harness m_target;
    coverage& m_covered;
    std::set<call_ref> m_started;
    std::set<call_ref> m_at_target;
    std::set<call_ref> m_promised;
};

} // namespace

TEST_CASE("target gate under random interleavings")
{
    coverage covered;
    CHECK(rc::check("an action starts at most once, and nothing after a promise that it did not run",
                    [&covered]
                    {
                        const auto any = rc::gen::container<std::vector<std::uint32_t>>(
                            script_size,
                            rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
                        random_run run{covered};
                        for (const std::uint32_t bits : *any)
                        {
                            run.play({bits});
                        }
                    }));
    CHECK(covered.starts > 100);
    CHECK(covered.promises > 100);
    CHECK(covered.resent > 100);
}
