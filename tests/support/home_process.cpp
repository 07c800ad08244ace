#include "home_process.hpp"

#include <algorithm>
#include <ranges>
#include <utility>

namespace masticcourse::tests
{

namespace
{

constexpr token_count escrow_chunk = 200;
constexpr std::size_t entries_per_clean = 50;
constexpr journal_options home_journal{.min_gap = std::chrono::milliseconds{20}, .max_entry_bytes = 2000};

} // namespace

std::string target_output(const program_id& program, const call_key& key)
{
    return "answer to " + program.value + " " + key.value;
}

home_process::home_process(incarnation_id incarnation, home_environment environment)
    : m_incarnation(std::move(incarnation)), m_env(std::move(environment)),
      m_journal(std::make_shared<journal_writer>(m_incarnation, home_journal)),
      m_recovered(std::make_shared<recovered_journals>(m_incarnation, retry_options{}))
{
}

void home_process::tick()
{
    if (m_frozen || sealed())
    {
        return;
    }
    pump_machine(m_journal);
    pump_machine(m_recovered);
    if (m_cleaner)
    {
        pump_machine(m_cleaner);
    }
    std::ranges::for_each(m_claims | std::views::values, [this](const auto& it) { pump_machine(it); });
    run_durable();
    finish_claims();
    update_shards();
    std::ranges::for_each(m_running | std::views::values, [this](auto& it) { advance_call(it); });
    std::erase_if(m_running,
                  [this](const auto& it)
                  {
                      const target_call& call = it.second.call;
                      return !it.second.held && !ledger_of(call.program).affordable(call.program, call.cost);
                  });
}

template <typename Machine>
void home_process::pump_machine(const std::shared_ptr<Machine>& machine)
{
    auto op = machine->poll(*m_env.now);
    if (!op)
    {
        return;
    }
    const auto on_answer = [weak = weak_from_this(), machine](const store_reply& reply)
    {
        const auto self = weak.lock();
        if (self)
        {
            // A dead process takes no answers; a frozen one takes them when it wakes.
            self->receive([self, machine, reply] { machine->on_reply(reply, *self->m_env.now); });
        }
    };
    m_env.store->send(std::move(*op), on_answer);
}

void home_process::claim(shard_index shard)
{
    if (m_claims.contains(shard) || owns(shard))
    {
        return;
    }
    const claimant self{.incarnation = m_incarnation,
                        .name = {m_incarnation.value},
                        .address = {},
                        .may_take = m_env.may_take,
                        .next_index = [this] { return m_journal->next_index(); }};
    m_claims.emplace(shard, std::make_shared<shard_claim>(shard, self, *m_recovered));
}

void home_process::finish_claims()
{
    for (const auto& it : m_claims | std::views::values)
    {
        m_env.oracle->check(it->state() != claim_state::damaged_row, "a shard's row is damaged");
        if (it->state() == claim_state::taken)
        {
            adopt(*it);
        }
    }
    std::erase_if(m_claims, [](const auto& it) { return it.second->state() != claim_state::claiming; });
}

void home_process::adopt(const shard_claim& claim)
{
    const shard_row& row = claim.row();
    m_env.oracle->check(claim.damages().empty(), "an entry of a recovered journal is damaged or missing");
    program_table recovered;
    for (const auto& it : claim.records())
    {
        recovered.apply(it.payload);
        m_table.apply(it.payload);
    }
    m_env.oracle->taken(row.shard, row.epoch, m_incarnation, recovered);
    m_owned[row.shard] = {.row = row, .version = claim.version()};
    for (const auto& program : recovered.programs() | std::views::keys)
    {
        m_shard_of[program] = row.shard;
    }
    for (const auto& [program, state] : recovered.programs())
    {
        std::ranges::for_each(state.intents, [this](const call_intended& it) { settle_intent(it); });
    }
}

void home_process::settle_intent(const call_intended& intent)
{
    const target_call call = call_for(intent.program, intent.request.key);
    if (m_env.ask(call))
    {
        commit_turn(call);
    }
    else
    {
        append(call.shard, intent_withdrawn{.program = intent.program, .key = intent.request.key});
    }
}

void home_process::create_program(shard_index shard, const program_id& program, const program_id& parent,
                                  token_count budget)
{
    if (!owns(shard) || m_owned.at(shard).releasing || (!parent.empty() && m_table.find(parent) == nullptr))
    {
        return;
    }
    const epoch_number epoch = m_owned.at(shard).row.epoch;
    m_shard_of[program] = shard;
    const auto ticket =
        append(shard, program_created{.program = program, .spec = {.budget = budget, .parent = parent}});
    if (!parent.empty())
    {
        ledger_of(parent).add(program, parent, budget);
    }
    m_on_durable.emplace_back(ticket, [this, shard, epoch, program]
                              { m_env.oracle->program_acknowledged(shard, epoch, program); });
}

void home_process::begin_turn(const program_id& program, const call_key& key, bool idempotent,
                              token_count cost)
{
    const auto shard = m_shard_of.find(program);
    const bool open =
        shard != m_shard_of.end() && owns(shard->second) && !m_owned.at(shard->second).releasing;
    if (!open || m_running.contains(program) || knows(program, key) ||
        !ledger_of(program).affordable(program, cost))
    {
        return;
    }
    running_call running{.call = call_for(program, key)};
    running.call.idempotent = idempotent;
    running.call.cost = cost;
    m_running.emplace(program, std::move(running));
}

bool home_process::knows(const program_id& program, const call_key& key) const
{
    const program_state& state = *m_table.find(program);
    const auto key_of = [](const call_intended& it) { return it.request.key; };
    return std::ranges::find(state.turns, key, &turn::key) != state.turns.end() ||
           std::ranges::find(state.intents, key, key_of) != state.intents.end();
}

void home_process::advance_call(running_call& running)
{
    if (running.held)
    {
        return;
    }
    const target_call& call = running.call;
    budget_ledger& ledger = ledger_of(call.program);
    running.held = ledger.reserve(call.program, call.cost);
    if (!running.held)
    {
        if (const auto total = ledger.needs_escrow(call.cost))
        {
            ledger.escrow_requested(*total);
            const auto ticket = append(call.shard, escrow_taken{.program = call.root, .total = *total});
            m_on_durable.emplace_back(ticket, [this, root = call.root, total]
                                      { m_ledgers.at(root).escrow_durable(*total); });
        }
        return;
    }
    if (call.idempotent)
    {
        send_call(call.program);
        return;
    }
    const call_request request{.key = call.key, .idempotent = false, .max_tokens = call.cost};
    const auto ticket = append(call.shard, call_intended{.program = call.program, .request = request});
    m_on_durable.emplace_back(ticket, [this, program = call.program] { send_call(program); });
}

void home_process::send_call(const program_id& program)
{
    m_env.dispatch(shared_from_this(), m_running.at(program).call);
}

void home_process::on_finished(const target_call& call)
{
    if (sealed() || !m_running.contains(call.program))
    {
        return;
    }
    const running_call running = m_running.at(call.program);
    ledger_of(call.program).settle(*running.held, call.cost);
    m_running.erase(call.program);
    commit_turn(call);
}

void home_process::on_refused(const target_call& call)
{
    if (sealed() || !m_running.contains(call.program))
    {
        return;
    }
    ledger_of(call.program).cancel(*m_running.at(call.program).held);
    m_running.erase(call.program);
    if (!call.idempotent)
    {
        append(call.shard, intent_withdrawn{.program = call.program, .key = call.key});
    }
}

void home_process::commit_turn(const target_call& call)
{
    const program_state* const state = m_table.find(call.program);
    const turn finished{
        .number = static_cast<std::uint32_t>(state->turns.size() + 1),
        .key = call.key,
        .outcome = {.output = target_output(call.program, call.key), .usage = {.completion = call.cost}}};
    m_env.oracle->turn_appended(call.program, finished);
    const auto ticket = append(
        call.shard,
        turn_committed{.program = call.program, .finished = finished, .spent = state->spent + call.cost});
    const epoch_number epoch = m_owned.at(call.shard).row.epoch;
    m_on_durable.emplace_back(ticket,
                              [this, call, epoch, finished] {
                                  m_env.oracle->turn_acknowledged(call.shard, epoch, call.program, finished);
                              });
}

void home_process::checkpoint(shard_index shard)
{
    if (!owns(shard) || m_owned.at(shard).update_after)
    {
        return;
    }
    owned_shard& owned = m_owned.at(shard);
    owned.checkpoint_from = m_journal->next_index();
    for (const auto& program : programs())
    {
        if (m_shard_of.at(program) == shard)
        {
            append(shard, *m_table.snapshot_of(program));
        }
    }
    owned.update_after = owned.last_ticket;
}

void home_process::release(shard_index shard)
{
    if (!owns(shard) || m_owned.at(shard).update_after || shard_busy(shard))
    {
        return;
    }
    owned_shard& owned = m_owned.at(shard);
    owned.releasing = true;
    for (const auto& program : programs())
    {
        if (m_shard_of.at(program) == shard && m_table.find(program)->spec.parent.empty())
        {
            // Nothing is reserved, so the unused escrow goes back to the program.
            auto snapshot = *m_table.snapshot_of(program);
            snapshot.escrow = ledger_of(program).spent();
            append(shard, snapshot);
        }
    }
    owned.update_after = owned.last_ticket;
}

void home_process::update_shards()
{
    for (auto& owned : m_owned | std::views::values)
    {
        if (owned.update_after && !owned.update && m_journal->durable() >= *owned.update_after)
        {
            owned.update = std::make_shared<shard_update>(
                owned.releasing ? shard_release(owned.row, owned.version, m_journal->durable_end(), {})
                                : shard_checkpoint(owned.row, owned.version, owned.checkpoint_from, {}));
        }
        if (!owned.update)
        {
            continue;
        }
        pump_machine(owned.update);
        if (owned.update->state() == update_state::done)
        {
            owned.row = owned.update->row();
            owned.version = owned.update->version();
            owned.update.reset();
            owned.update_after.reset();
        }
    }
    std::erase_if(m_owned,
                  [this](const auto& it)
                  {
                      const owned_shard& owned = it.second;
                      const bool lost = owned.update && owned.update->state() == update_state::lost_shard;
                      m_lost = m_lost || lost;
                      const bool gone = lost || owned.row.owner.empty();
                      if (gone)
                      {
                          std::erase_if(m_shard_of,
                                        [&](const auto& each) { return each.second == it.first; });
                      }
                      return gone;
                  });
    for (const auto& program : programs())
    {
        if (!m_shard_of.contains(program))
        {
            m_table.erase(program);
            m_ledgers.erase(program);
            m_running.erase(program);
        }
    }
}

void home_process::clean(const incarnation_id& journal)
{
    if (!m_cleaner || m_cleaner->done())
    {
        m_cleaner = std::make_shared<journal_cleaner>(journal, entries_per_clean, retry_options{});
    }
}

void home_process::run_durable()
{
    while (!m_on_durable.empty() && m_on_durable.front().first <= m_journal->durable())
    {
        const auto run = std::move(m_on_durable.front().second);
        m_on_durable.pop_front();
        run();
    }
}

journal_ticket home_process::append(shard_index shard, const journal_payload& payload)
{
    owned_shard& owned = m_owned.at(shard);
    m_env.oracle->check(m_table.apply(payload) != apply_result::damaged, "a home wrote a gap");
    owned.last_ticket =
        m_journal->append({.shard = shard, .epoch = owned.row.epoch, .payload = payload}, *m_env.now);
    return owned.last_ticket;
}

budget_ledger& home_process::ledger_of(const program_id& program)
{
    const program_id root = root_of(program);
    if (const auto it = m_ledgers.find(root); it != m_ledgers.end())
    {
        return it->second;
    }
    const program_state& state = *m_table.find(root);
    const auto in_tree = [&](const auto& it) { return it.second.spec.parent == root; };
    token_count settled = state.spent;
    std::ranges::for_each(m_table.programs() | std::views::filter(in_tree),
                          [&](const auto& it) { settled += it.second.spent; });
    budget_ledger ledger(root, state.spec.budget, state.escrow, settled, escrow_chunk);
    std::ranges::for_each(m_table.programs() | std::views::filter(in_tree), [&](const auto& it)
                          { ledger.add(it.first, root, it.second.spec.budget, it.second.spent); });
    return m_ledgers.emplace(root, std::move(ledger)).first->second;
}

program_id home_process::root_of(const program_id& program) const
{
    const auto& parent = m_table.find(program)->spec.parent;
    return parent.empty() ? program : parent;
}

target_call home_process::call_for(const program_id& program, const call_key& key) const
{
    const program_id root = root_of(program);
    const shard_index shard = m_shard_of.at(program);
    return {.program = program,
            .root = root,
            .budget = m_table.find(root)->spec.budget,
            .key = key,
            .shard = shard,
            .epoch = m_owned.at(shard).row.epoch};
}

void home_process::receive(std::function<void()> event)
{
    if (m_frozen)
    {
        m_inbox.push_back(std::move(event));
    }
    else
    {
        event();
    }
}

void home_process::freeze()
{
    m_frozen = true;
}

void home_process::thaw()
{
    m_frozen = false;
    const auto inbox = std::exchange(m_inbox, {});
    std::ranges::for_each(inbox, [](const auto& it) { it(); });
}

bool home_process::sealed() const
{
    return m_lost || m_journal->sealed();
}

bool home_process::owns(shard_index shard) const
{
    return m_owned.contains(shard);
}

bool home_process::busy() const
{
    const bool updating =
        std::ranges::any_of(m_owned, [](const auto& it) { return it.second.update_after.has_value(); });
    return !sealed() && (updating || !m_claims.empty() || !m_running.empty() || !m_on_durable.empty() ||
                         m_journal->durable() < m_journal->last_ticket());
}

bool home_process::shard_busy(shard_index shard) const
{
    return std::ranges::any_of(m_running, [&](const auto& it) { return it.second.call.shard == shard; });
}

const incarnation_id& home_process::incarnation() const
{
    return m_incarnation;
}

std::vector<program_id> home_process::programs() const
{
    std::vector<program_id> result;
    std::ranges::copy(m_table.programs() | std::views::keys, std::back_inserter(result));
    return result;
}

shard_index home_process::shard_of(const program_id& program) const
{
    return m_shard_of.at(program);
}

const program_table& home_process::table() const
{
    return m_table;
}

} // namespace masticcourse::tests
