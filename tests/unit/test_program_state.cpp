// Programs built from records: order, repetition and gaps.
#include "masticcourse/state/program_state.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <string>
#include <vector>

using namespace masticcourse;

namespace
{

const program_id program{"p"};
const program_spec spec{.workspace = {"w"}, .budget = 1000};

turn numbered_turn(std::uint32_t number, const std::string& output = "x")
{
    return {.number = number, .key = {"k" + std::to_string(number)}, .outcome = {.output = output}};
}

turn_committed committed(std::uint32_t number, const std::string& output = "x")
{
    return {.program = program, .finished = numbered_turn(number, output), .spent = token_count{10} * number};
}

call_intended intended(const std::string& key, const std::string& target = "t")
{
    return {.program = program, .request = {.key = {key}, .idempotent = false}, .target = {target}};
}

program_table table_of(const std::vector<journal_payload>& records)
{
    program_table result;
    for (const auto& it : records)
    {
        result.apply(it);
    }
    return result;
}

} // namespace

TEST_CASE("what a record does to a program")
{
    const std::vector<journal_payload> two_turns{program_created{program, spec}, committed(1), committed(2)};
    struct row
    {
        const char* name;
        journal_payload record;
        apply_result result;
    };
    const std::vector<row> table{
        {"the next turn", committed(3), apply_result::applied},
        {"a turn again", committed(2), apply_result::repeated},
        {"a turn again with another outcome", committed(2, "y"), apply_result::damaged},
        {"a turn left out", committed(4), apply_result::damaged},
        {"no number", committed(0), apply_result::damaged},
        {"created again", program_created{program, spec}, apply_result::repeated},
        {"created otherwise", program_created{program, {.budget = 1}}, apply_result::damaged},
        {"an unknown program", escrow_taken{{"other"}, 5}, apply_result::damaged},
        {"escrow", escrow_taken{program, 5}, apply_result::applied},
        {"intent", intended("k3"), apply_result::applied},
        {"intent of a finished call", intended("k2"), apply_result::repeated},
        {"withdrawal of nothing", intent_withdrawn{program, {"k9"}}, apply_result::repeated},
        {"end", program_ended{program}, apply_result::applied},
        {"probe", ownership_probe{}, apply_result::repeated},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        program_table programs = table_of(two_turns);
        CHECK(programs.apply(it.record) == it.result);
    }
}

TEST_CASE("a gap is reported, is never read as good, and a later snapshot mends it")
{
    program_table programs = table_of({program_created{program, spec}, committed(1), committed(3)});
    CHECK(programs.find(program) == nullptr);
    CHECK_FALSE(programs.snapshot_of(program));
    REQUIRE(programs.damages().contains(program));
    CHECK(programs.damages().at(program) == history_damage{program, 2, 3});
    CHECK(programs.apply(committed(2)) == apply_result::damaged);

    const auto whole = table_of({program_created{program, spec}, committed(1), committed(2), committed(3)});
    CHECK(programs.apply(*whole.snapshot_of(program)) == apply_result::applied);
    CHECK(programs.damages().empty());
    CHECK(*programs.find(program) == *whole.find(program));
}

TEST_CASE("intents live until their result or withdrawal")
{
    program_table programs = table_of({program_created{program, spec}, intended("k1"), intended("k1", "u")});
    REQUIRE(programs.find(program)->intents.size() == 1);
    CHECK(programs.find(program)->intents.front().target.value == "u");
    programs.apply(committed(1));
    CHECK(programs.find(program)->intents.empty());
    programs.apply(intended("k2"));
    programs.apply(intent_withdrawn{program, {"k2"}});
    CHECK(programs.find(program)->intents.empty());
}

TEST_CASE("applying every record twice, or through a snapshot at any place, comes to the same")
{
    CHECK(rc::check(
        "records",
        [](const std::vector<std::uint8_t>& choices, std::uint8_t snapshot_at)
        {
            std::vector<journal_payload> records{program_created{program, spec}};
            std::uint32_t turns = 0;
            for (const auto it : choices)
            {
                switch (it % 4)
                {
                case 0:
                    records.emplace_back(escrow_taken{program, it});
                    break;
                case 1:
                    records.emplace_back(intended("k" + std::to_string(turns + 1)));
                    break;
                case 2:
                    records.emplace_back(intent_withdrawn{program, {"k" + std::to_string(turns + 1)}});
                    break;
                default:
                    records.emplace_back(committed(++turns));
                    break;
                }
            }
            const program_table once = table_of(records);
            program_table twice;
            program_table after_snapshot;
            const std::size_t cut = snapshot_at % records.size();
            program_table before;
            for (std::size_t n = 0; n < records.size(); ++n)
            {
                twice.apply(records[n]);
                RC_ASSERT(twice.apply(records[n]) == apply_result::repeated);
                if (n <= cut)
                {
                    before.apply(records[n]);
                }
                else
                {
                    after_snapshot.apply(records[n]);
                }
                if (n == cut)
                {
                    after_snapshot.apply(*before.snapshot_of(program));
                }
            }
            RC_ASSERT(*twice.find(program) == *once.find(program));
            RC_ASSERT(*after_snapshot.find(program) == *once.find(program));
        }));
}
