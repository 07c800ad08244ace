// The journal's writer and its recovery by a successor, under every fate that an operation can meet.
#include "faulty_store.hpp"

#include "masticcourse/state/journal_cleaner.hpp"
#include "masticcourse/state/journal_recovery.hpp"
#include "masticcourse/state/journal_writer.hpp"
#include "masticcourse/state/shard_row.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace std::chrono_literals;
using standins::faulty_store;
using standins::op_outcome;

namespace
{

const incarnation_id owner{"owner"};
const incarnation_id successor{"successor"};

journal_record numbered(std::uint64_t number)
{
    return {.payload = program_ended{.program = {std::to_string(number)}}};
}

std::vector<std::uint64_t> numbers_in(const journal_recovery& recovery)
{
    std::vector<std::uint64_t> result;
    for (const auto& [index, entry] : recovery.entries())
    {
        for (const auto& it : entry.records)
        {
            result.push_back(std::stoull(std::get<program_ended>(it.payload).program.value));
        }
    }
    return result;
}

/// What a random script does next; its operands are drawn from the same number.
enum class action : std::uint8_t
{
    append,
    write,
    take_over,
    deliver,
    deliver_late,
    wait,
};

constexpr unsigned action_count = 6;

/// An owner that writes numbered records, and from some step on a successor that ends its journal.
struct journal_script
{
    core_time now{};
    faulty_store store;
    journal_writer writer{owner, {.min_gap = 10ms, .max_entry_bytes = 400}};
    journal_recovery recovery{owner, successor, {}};
    std::uint64_t appended = 0;
    bool taking_over = false;

    void run(unsigned step)
    {
        const unsigned operand = step / action_count;
        switch (static_cast<action>(step % action_count))
        {
        case action::append:
            writer.append(numbered(++appended), now);
            break;
        case action::write:
            send_next(writer, store, now);
            break;
        case action::take_over:
            taking_over = taking_over || operand % 4 == 0;
            break;
        case action::deliver:
            store.deliver(operand, static_cast<op_outcome>(operand / 3 % standins::op_outcome_count), now);
            break;
        case action::deliver_late:
            store.apply_delayed_request(operand, now);
            store.deliver_delayed_response(operand);
            break;
        case action::wait:
            now += std::chrono::milliseconds{operand % 400};
            break;
        }
        if (taking_over)
        {
            recovery.read(1, std::nullopt);
            send_next(recovery, store, now);
        }
    }

    /// All that waits is answered, in turn.
    void finish(auto& machine)
    {
        while (store.pending_count() > 0)
        {
            store.deliver(0, op_outcome::completed, now);
        }
        while (store.deliver_delayed_response(0))
        {
        }
        run_to_completion(machine, store, now);
    }
};

} // namespace

TEST_CASE("a successor finds all acknowledged records, in order, and nothing is added after its seal")
{
    CHECK(rc::check("journal",
                    [](const std::vector<std::uint16_t>& steps)
                    {
                        journal_script script;
                        std::ranges::for_each(steps, [&](std::uint16_t it) { script.run(it); });
                        const journal_ticket acknowledged = script.writer.durable();
                        script.recovery.read(1, std::nullopt);
                        script.finish(script.recovery);
                        RC_ASSERT(script.recovery.done());
                        RC_ASSERT(script.recovery.damages().empty());

                        const auto found = numbers_in(script.recovery);
                        RC_ASSERT(found.size() >= acknowledged);
                        RC_ASSERT(found.size() <= script.appended);
                        for (std::size_t n = 0; n < found.size(); ++n)
                        {
                            RC_ASSERT(found[n] == n + 1);
                        }

                        // The old owner wakes, and whatever was still on its way arrives.
                        script.writer.append(numbered(++script.appended), script.now);
                        script.finish(script.writer);
                        script.store.apply_delayed_request(0, script.now);
                        script.store.apply_delayed_request(0, script.now);
                        RC_ASSERT(script.writer.sealed());
                        RC_ASSERT(script.writer.durable() <= found.size());
                        journal_recovery again(owner, {"third"}, {});
                        again.read(1, std::nullopt);
                        script.finish(again);
                        RC_ASSERT(numbers_in(again) == found);
                    }));
}

TEST_CASE("an append whose answer was lost is settled by reading it back")
{
    // Done but unanswered is not written again; one that never arrived, or was refused, is.
    for (const op_outcome fate : {op_outcome::response_lost, op_outcome::request_lost, op_outcome::refused})
    {
        core_time now{};
        faulty_store store;
        journal_writer writer(owner, {});
        const auto ticket = writer.append(numbered(1), now);
        send_next(writer, store, now);
        store.deliver(0, fate, now);
        CHECK(writer.durable() < ticket);
        run_to_completion(writer, store, now);
        CHECK(writer.durable() == ticket);
        CHECK(store.store().stats().writes == 1);
    }
}

TEST_CASE("a record is replaced only as long as no attempt to write it can have taken effect")
{
    struct row
    {
        const char* name;
        /// What becomes of the first attempt; none: it is not made, or still under way.
        std::optional<op_outcome> fate;
        bool attempted;
        bool replaced;
    };
    for (const auto& it :
         {row{"not sent", std::nullopt, false, true}, row{"under way", std::nullopt, true, false},
          row{"rejected", op_outcome::refused, true, true},
          row{"lost on the way", op_outcome::request_lost, true, false},
          row{"written, answer lost", op_outcome::response_lost, true, false},
          row{"durable", op_outcome::completed, true, false}})
    {
        CAPTURE(it.name);
        core_time now{};
        faulty_store store;
        journal_writer writer(owner, {});
        writer.append(numbered(1), now);
        const auto ticket = writer.append(numbered(2), now);
        if (it.attempted)
        {
            send_next(writer, store, now);
        }
        if (it.fate)
        {
            store.deliver(0, *it.fate, now);
        }
        writer.append(numbered(3), now);
        CHECK(writer.try_replace(ticket, numbered(7).payload) == it.replaced);
        while (store.pending_count() > 0)
        {
            store.deliver(0, op_outcome::completed, now);
        }
        run_to_completion(writer, store, now);
        journal_recovery recovery(owner, successor, {});
        recovery.read(1, std::nullopt);
        run_to_completion(recovery, store, now);
        CHECK(numbers_in(recovery) == std::vector<std::uint64_t>{1, it.replaced ? 7U : 2U, 3});
        CHECK_FALSE(writer.try_replace(ticket, numbered(8).payload));
    }
}

TEST_CASE("a writer tells how long its records have waited, and spaces its attempts in an outage")
{
    core_time now{};
    faulty_store store;
    journal_writer writer(owner, {});
    writer.append(numbered(1), now);
    std::uint64_t attempts = 0;
    while (now < core_time{} + 10min)
    {
        attempts += send_next(writer, store, now) ? 1 : 0;
        store.deliver(0, op_outcome::refused, now);
        // Whoever polls too often gets nothing to send.
        now += 10ms;
    }
    CHECK(writer.stalled_for(now) == 10min);
    // The longest gap is 2 s with jitter, so at most one attempt a second and a few at the start.
    CHECK(attempts <= 610);
    run_to_completion(writer, store, now);
    CHECK(writer.stalled_for(now) == 0s);
}

TEST_CASE("records that come while an entry is written share the next one")
{
    core_time now{};
    faulty_store store;
    journal_writer writer(owner, {.min_gap = 50ms});
    constexpr std::uint64_t records = 1000;
    for (std::uint64_t n = 1; n <= records; ++n)
    {
        writer.append(numbered(n), now);
        send_next(writer, store, now);
        store.deliver(0, op_outcome::completed, now);
        now += 1ms;
    }
    run_to_completion(writer, store, now);
    CHECK(writer.durable() == records);
    CHECK(writer.pending_bytes() == 0);
    // One second at a gap of 50 ms.
    CHECK(store.store().stats().writes <= 22);
}

TEST_CASE("a successor that slept between its listing and its seal doesn't take a hole for the end")
{
    core_time now{};
    faulty_store store;
    journal_writer writer(owner, {});
    const auto write_one = [&]
    {
        writer.append(numbered(writer.last_ticket() + 1), now);
        run_to_completion(writer, store, now);
    };
    write_one();
    journal_recovery recovery(owner, successor, {});
    recovery.read(1, std::nullopt);
    // The successor has listed and looked at entry 1; its seal in place 2 is on its way.
    for (int n = 0; n < 2; ++n)
    {
        send_next(recovery, store, now);
        store.deliver(0, op_outcome::completed, now);
    }
    send_next(recovery, store, now);
    // Meanwhile the owner writes on, and its old entries are cleaned away.
    auto seal = store.take(0);
    write_one();
    write_one();
    write_one();
    journal_cleaner cleaner(owner, 100, {});
    run_to_completion(cleaner, store, now);
    CHECK(cleaner.deleted() == 3);
    store.send(std::move(seal.op), std::move(seal.handler));
    store.deliver(0, op_outcome::completed, now);

    run_to_completion(recovery, store, now);
    CHECK(recovery.end() == 5);
    write_one();
    CHECK(writer.sealed());
}

TEST_CASE("the cleaner keeps what a row names, and the last entry")
{
    struct row
    {
        std::optional<std::uint64_t> named;
        std::size_t deleted;
    };
    for (const auto& it : {row{std::nullopt, 4}, row{1, 0}, row{3, 2}, row{9, 4}})
    {
        core_time now{};
        faulty_store store;
        journal_writer writer(owner, {});
        for (std::uint64_t n = 1; n <= 5; ++n)
        {
            writer.append(numbered(n), now);
            run_to_completion(writer, store, now);
        }
        if (it.named)
        {
            const shard_row named{.shard = 7, .parts = {{.journal = owner, .from_index = *it.named}}};
            static_cast<void>(store.store().apply(table_put{shard_key(7), encode(named)}, now));
        }
        journal_cleaner cleaner(owner, 100, {});
        run_to_completion(cleaner, store, now);
        CHECK(cleaner.done());
        CHECK(cleaner.deleted() == it.deleted);
    }
}

TEST_CASE("a damaged or missing entry is reported and the others are read")
{
    core_time now{};
    faulty_store store;
    journal_writer writer(owner, {});
    std::string second;
    store.observer = [&](const store_op& op, const store_reply&)
    {
        const auto* const it = std::get_if<object_create>(&op);
        second = it != nullptr && it->key == journal_key(owner, 2) ? it->bytes : second;
    };
    for (std::uint64_t n = 1; n <= 4; ++n)
    {
        writer.append(numbered(n), now);
        run_to_completion(writer, store, now);
    }
    const auto replace = [&](std::uint64_t index, const std::string& bytes)
    {
        static_cast<void>(store.store().apply(object_delete{journal_key(owner, index)}, now));
        static_cast<void>(store.store().apply(object_create{journal_key(owner, index), bytes}, now));
    };
    replace(2, second.substr(0, second.size() / 2));
    // A good entry in a place that isn't its own.
    replace(3, second);
    static_cast<void>(store.store().apply(object_delete{journal_key(owner, 1)}, now));

    journal_recovery recovery(owner, successor, {});
    recovery.read(1, std::nullopt);
    run_to_completion(recovery, store, now);
    CHECK(numbers_in(recovery) == std::vector<std::uint64_t>{4});
    const std::vector<damaged_entry> expected{
        {.journal = owner, .index = 1, .missing = true},
        {.journal = owner, .index = 2, .damage = journal_damage::truncated},
        {.journal = owner, .index = 3, .damage = journal_damage::malformed}};
    CHECK(recovery.damages() == expected);
}
