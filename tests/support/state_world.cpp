#include "state_world.hpp"

#include <algorithm>
#include <ranges>

namespace masticcourse::tests
{

namespace
{

constexpr unsigned thousand = 1000;
constexpr token_count program_budget = 2000;
constexpr token_count most_cost = 90;

} // namespace

state_world::state_world(std::uint64_t seed, world_options options)
    : m_random(seed), m_options(options), m_config(m_store, m_now, m_oracle, seed + 1)
{
    m_store.observer = [this](const store_op& op, const store_reply& reply)
    {
        watch_row(op, reply);
        m_config.observe(op, reply);
    };
    m_homes.resize(options.homes);
    std::ranges::generate(m_homes, [this] { return new_home(); });
}

void state_world::step()
{
    m_now += std::chrono::microseconds{random(20000)};
    disturb();
    // Most steps move what is on its way; the others begin something.
    if (random(10) < 6)
    {
        deliver_one();
    }
    else
    {
        act(*any_home());
    }
    if (random(10) == 0)
    {
        m_config.step(true);
    }
    replace_sealed();
    tick_all();
}

void state_world::act(home_process& home)
{
    const shard_index shard = any_shard();
    const auto programs = home.programs();
    const program_id program = programs.empty() ? program_id{} : programs[random(programs.size())];
    switch (random(24))
    {
    case 0:
    case 1:
        home.claim(shard);
        break;
    case 2:
        home.create_program(shard, {"p" + std::to_string(++m_programs)}, {}, program_budget);
        break;
    case 3:
        if (!programs.empty() && home.table().find(program)->spec.parent.empty() && random(4) == 0)
        {
            home.create_program(home.shard_of(program), {"p" + std::to_string(++m_programs)}, program,
                                program_budget / 2);
        }
        break;
    case 4:
        home.checkpoint(shard);
        break;
    case 5:
        if (random(8) == 0)
        {
            home.release(shard);
        }
        break;
    case 6:
        if (const auto it = m_rows.find(shard); it != m_rows.end())
        {
            home.clean(it->second.parts.empty() ? home.incarnation() : it->second.parts.front().journal);
        }
        break;
    default:
        if (!programs.empty())
        {
            // Often the caller asks again for what it has no answer to, perhaps of another home.
            auto& key = m_last_key[program];
            key = key != 0 && random(3) == 0 ? key : ++m_keys;
            home.begin_turn(program, {"k" + std::to_string(key)}, key % 2 == 0,
                            1 + static_cast<token_count>(random(most_cost)));
        }
        break;
    }
}

void state_world::disturb()
{
    if (chance(m_options.crash))
    {
        ++m_counts.crashes;
        any_home() = new_home();
    }
    if (chance(m_options.freeze))
    {
        ++m_counts.freezes;
        any_home()->freeze();
    }
    if (chance(m_options.freeze * 4))
    {
        any_home()->thaw();
    }
    if (chance(m_outage ? m_options.outage * 10 : m_options.outage))
    {
        m_outage = !m_outage;
        m_counts.outages += m_outage ? 1 : 0;
        m_store.store().set_faults({.outage = m_outage});
    }
    if (random(10) == 0)
    {
        m_store.apply_delayed_request(random(thousand), m_now);
        m_store.deliver_delayed_response(random(thousand));
    }
}

void state_world::deliver_one()
{
    if (!m_calls.empty() && random(3) == 0)
    {
        const auto at = m_calls.begin() + static_cast<std::ptrdiff_t>(random(m_calls.size()));
        const sent_call sent = *at;
        m_calls.erase(at);
        run_call(sent);
        return;
    }
    const bool bad = !m_settling && chance(m_options.bad_fate);
    const auto fate = bad ? static_cast<standins::op_outcome>(1 + random(standins::op_outcome_count - 1))
                          : standins::op_outcome::completed;
    m_store.deliver(random(thousand), fate, m_now);
}

void state_world::run_call(const sent_call& sent)
{
    const target_call& call = sent.call;
    auto& newest = m_newest_epoch[call.shard];
    const bool stale = call.epoch < newest;
    newest = std::max(newest, call.epoch);
    const bool accepted = !stale && !m_refused.contains({call.program, call.key});
    if (accepted)
    {
        m_oracle.ran(call.root, call.budget, call.program, call.key, call.idempotent, call.cost);
    }
    if (const auto home = sent.home.lock())
    {
        home->receive(
            [home, call, accepted]
            {
                if (accepted)
                {
                    home->on_finished(call);
                }
                else
                {
                    home->on_refused(call);
                }
            });
    }
}

bool state_world::ask_target(const target_call& call)
{
    m_newest_epoch[call.shard] = std::max(m_newest_epoch[call.shard], call.epoch);
    const bool ran = m_oracle.has_run(call.program, call.key);
    if (!ran)
    {
        m_refused.emplace(call.program, call.key);
    }
    return ran;
}

bool state_world::may_take(const shard_row& row)
{
    const bool lives =
        std::ranges::any_of(m_homes, [&](const home_ptr& it) { return it->incarnation() == row.owner; });
    return !lives || (!m_settling && chance(m_options.wrong_suspicion));
}

void state_world::replace_sealed()
{
    for (auto& it : m_homes)
    {
        if (it->sealed())
        {
            ++m_counts.sealed_homes;
            it = new_home();
        }
    }
}

void state_world::tick_all()
{
    std::ranges::for_each(m_homes, [](const home_ptr& it) { it->tick(); });
    m_config.tick();
}

void state_world::settle()
{
    m_settling = true;
    m_outage = false;
    m_store.store().set_faults({});
    std::ranges::for_each(m_homes, [](const home_ptr& it) { it->thaw(); });
    const auto run_until_quiet = [this]
    {
        constexpr int most_steps = 200000;
        constexpr int least_steps = 2000;
        const auto busy = [](const home_ptr& it) { return it->busy(); };
        int n = 0;
        for (; n < most_steps &&
               (n < least_steps || m_store.pending_count() > 0 || std::ranges::any_of(m_homes, busy));
             ++n)
        {
            m_now += std::chrono::milliseconds{10};
            m_store.apply_delayed_request(0, m_now);
            m_store.deliver_delayed_response(0);
            deliver_one();
            if (n % 10 == 0)
            {
                m_config.step(false);
            }
            replace_sealed();
            tick_all();
        }
        m_oracle.check(n < most_steps, "the homes don't come to rest");
    };
    run_until_quiet();
    // All homes die at once, and one that knows nothing takes everything over.
    m_homes.assign(1, new_home());
    for (const auto shard : std::views::iota(shard_index{0}, m_options.shards))
    {
        m_homes.front()->claim(shard);
    }
    run_until_quiet();
    for (const auto shard : std::views::iota(shard_index{0}, m_options.shards))
    {
        m_oracle.check(m_homes.front()->owns(shard), "a shard can't be taken after all faults are over");
    }
    m_config.check_converged();
}

void state_world::watch_row(const store_op& op, const store_reply& reply)
{
    m_counts.cleaned_entries += std::holds_alternative<object_delete>(op) ? 1 : 0;
    const auto* const put = std::get_if<table_put>(&op);
    if (put == nullptr || !put->key.starts_with(shard_key_prefix) || reply.status != store_status::ok)
    {
        return;
    }
    const shard_row row = *decode_shard_row(put->value);
    const auto [it, first] = m_rows.try_emplace(row.shard, row);
    const bool new_owner = !row.owner.empty() && row.owner != it->second.owner;
    m_oracle.check(first || row.epoch == it->second.epoch + (new_owner ? 1 : 0), "an epoch went wrong");
    m_counts.releases += row.owner.empty() ? 1 : 0;
    m_counts.checkpoints += !first && !new_owner && !row.owner.empty() ? 1 : 0;
    it->second = row;
}

state_world::home_ptr state_world::new_home()
{
    return std::make_shared<home_process>(
        incarnation_id{"home-" + std::to_string(++m_lives)},
        home_environment{.store = &m_store,
                         .now = &m_now,
                         .oracle = &m_oracle,
                         .may_take = [this](const shard_row& it) { return may_take(it); },
                         .dispatch =
                             [this](const home_ptr& home, const target_call& it) {
                                 m_calls.push_back({home, it});
                             },
                         .ask = [this](const target_call& it) { return ask_target(it); }});
}

state_world::home_ptr& state_world::any_home()
{
    return m_homes[random(m_homes.size())];
}

shard_index state_world::any_shard()
{
    return static_cast<shard_index>(random(m_options.shards));
}

std::uint64_t state_world::random(std::uint64_t below)
{
    return m_random() % below;
}

bool state_world::chance(unsigned of_thousand)
{
    return random(thousand) < of_thousand;
}

const state_oracle& state_world::oracle() const
{
    return m_oracle;
}

const world_counts& state_world::counts() const
{
    return m_counts;
}

standins::faulty_store& state_world::store()
{
    return m_store;
}

core_duration state_world::elapsed() const
{
    return m_now.time_since_epoch();
}

std::uint64_t state_world::accepted_patches() const
{
    return m_config.accepted();
}

} // namespace masticcourse::tests
