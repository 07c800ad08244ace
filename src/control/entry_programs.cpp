// Programs: creation, history, end, and the leases on what engines hold for them.
#include "api_documents.hpp"
#include "entry_systems.hpp"

#include "masticcourse/core/invariant.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace masticcourse::detail
{

namespace
{

constexpr int status_created = 201;
constexpr int status_ok = 200;
constexpr int most_draws = 1024;
constexpr auto retry_soon = std::chrono::milliseconds{500};

std::string hex(std::uint64_t number)
{
    return make_incarnation({}, number).value.substr(1);
}

/// The id of a program that a caller named by a key: the same key gives the same program.
program_id keyed_id(const workspace_id& workspace, const std::string& key)
{
    const auto text = workspace.value + '\x1f' + key;
    const auto hash = XXH3_128bits(text.data(), text.size());
    return {"k" + hex(hash.high64) + hex(hash.low64)};
}

/// A new id whose shard this process serves, if it serves any.
program_id fresh_id(entry_state& state)
{
    for (int draw = 0; draw < most_draws; ++draw)
    {
        program_id id{"p" + hex(state.random()) + hex(state.random())};
        if (shard_for(state, id).serving)
        {
            return id;
        }
    }
    return {};
}

program_id sub_agent_id(entry_state& state, const create_program& request)
{
    const auto prefix = request.spec.parent.value + sub_agent_separator;
    if (!request.key.empty())
    {
        return {prefix + keyed_id(request.spec.workspace, request.key).value};
    }
    return {prefix + std::to_string(++state.runtimes[request.spec.parent].children)};
}

/// What stands against a sub-agent of this parent.
problem parent_refusal(const entry_state& state, const workspace_id& workspace, const program_id& parent)
{
    const auto* const found = find_program(state, workspace, parent);
    if (found == nullptr)
    {
        return unknown_program_problem();
    }
    if (found->ended)
    {
        return {problem_id::program_ended, ran_state::no, "the parent program has ended"};
    }
    return {};
}

void enter_ledger(entry_state& state, const program_state& program)
{
    const auto root = root_of(program.program);
    if (root != program.program)
    {
        if (const auto it = state.ledgers.find(root); it != state.ledgers.end())
        {
            it->second.add(program.program, program.spec.parent, program.spec.budget, program.spent);
        }
        return;
    }
    token_count settled = 0;
    for (const auto& [id, member] : state.programs.programs())
    {
        settled += root_of(id) == root ? member.spent : 0;
    }
    state.ledgers.insert_or_assign(
        root, budget_ledger{root, program.spec.budget, program.escrow, settled, state.options.escrow_chunk});
}

/// What the workspace allows, applied to what the caller asks for.
problem apply_workspace(const entry_state& state, program_spec& spec)
{
    const auto* const workspace = state.view.find_workspace(spec.workspace);
    if (workspace == nullptr)
    {
        return {};
    }
    if (spec.budget > workspace->max_budget)
    {
        return {problem_id::invalid_field, ran_state::no,
                "budget: at most " + std::to_string(workspace->max_budget) + " in this workspace"};
    }
    if (spec.priority != service_class::background)
    {
        spec.priority = workspace->priority;
    }
    return {};
}

token_count clamped_budget(const entry_state& state, const program_spec& spec)
{
    if (spec.parent.empty())
    {
        return spec.budget;
    }
    const auto limit = state.programs.find(spec.parent)->spec.budget;
    return spec.budget == 0 ? limit : std::min(spec.budget, limit);
}

void create(entry_state& state, const reply_route& route, const program_id& id, program_spec spec)
{
    spec.budget = clamped_budget(state, spec);
    const program_created record{id, std::move(spec)};
    const auto applied = state.programs.apply(record);
    MASTICCOURSE_INVARIANT(applied == apply_result::applied, "a new program has a new id");
    const auto ticket = append(state, id, record);
    install_program(state, *state.programs.find(id));
    if (record.spec.parent.empty())
    {
        // The first part of the budget becomes usable together with the program itself.
        request_escrow(state, id, 1);
    }
    when_durable(state, ticket, creation_durable{id, route});
    state.trace(event_id::program_created, id, {}, {{"workspace", record.spec.workspace.value}});
}

void release_engines(entry_state& state, const program_id& program)
{
    const auto index = shard_of(program, state.options.shards);
    for (const auto& target : state.runtimes[program].touched)
    {
        send_to(state, target, release_program{program, index, state.shards[index].epoch});
    }
    state.runtimes[program].touched.clear();
    state.runtimes[program].prefixes.clear();
}

void cancel_calls(entry_state& state, const program_id& program)
{
    auto& runtime = state.runtimes[program];
    if (!runtime.waiting.empty())
    {
        const call_ref first{program, runtime.waiting.front()};
        finish_without_turn(state, first, {problem_id::cancelled, ran_state::no, "the program was ended"});
    }
    if (!runtime.active)
    {
        return;
    }
    auto& call = state.calls.at({program, *runtime.active});
    const bool sent = call.phase == call_phase::dispatched || call.phase == call_phase::asking;
    const problem ended{problem_id::cancelled, sent ? ran_state::unknown : ran_state::no,
                        "the program was ended"};
    send_to(state, call.target, cancel_call{call.ref});
    if (sent && !call.request.idempotent)
    {
        finish_with_turn(state, call, {.error = ended});
        return;
    }
    finish_without_turn(state, call_ref{call.ref}, ended);
}

std::vector<program_id> tree_of(const entry_state& state, const program_id& program)
{
    std::vector<program_id> tree;
    for (const auto& [id, it] : state.programs.programs())
    {
        const bool below = id.value.starts_with(program.value + sub_agent_separator);
        if ((id == program || below) && !it.ended)
        {
            tree.push_back(id);
        }
    }
    // Sub-agents first.
    std::ranges::reverse(tree);
    return tree;
}

void renew(entry_state& state, const process_name& target, std::vector<program_id> programs)
{
    const auto lease = std::chrono::duration_cast<std::chrono::milliseconds>(state.options.program_lease);
    send_to(state, target, renew_programs{std::move(programs), lease});
}

} // namespace

problem unknown_program_problem()
{
    return {problem_id::unknown_program, ran_state::no, "there is no such program in this workspace"};
}

program_id home_of_creation(const workspace_id& workspace, const create_program& request)
{
    if (!request.spec.parent.empty())
    {
        return request.spec.parent;
    }
    return request.key.empty() ? program_id{} : keyed_id(workspace, request.key);
}

program_id root_of(const program_id& program)
{
    return {program.value.substr(0, program.value.find(sub_agent_separator))};
}

const program_state* find_program(const entry_state& state, const workspace_id& workspace,
                                  const program_id& program)
{
    const auto* const found = state.programs.find(program);
    return found != nullptr && found->spec.workspace == workspace ? found : nullptr;
}

void install_program(entry_state& state, const program_state& program)
{
    auto& runtime = state.runtimes[program.program];
    runtime = {};
    runtime.last_activity = state.now;
    for (const auto& it : program.turns)
    {
        runtime.history_tokens += estimate_tokens(it.input) + estimate_tokens(it.outcome.output);
        runtime.attained += it.outcome.usage.charged();
    }
    enter_ledger(state, program);
    if (program.turns.empty())
    {
        return;
    }
    // Its former home knew which engines hold its prefix; until a call shows it, all get the lease renewed.
    for (const auto& [name, peer] : state.peers)
    {
        if (peer.known.role == process_role::target)
        {
            runtime.touched.insert(name);
        }
    }
}

void forget_program(entry_state& state, const program_id& program)
{
    state.runtimes.erase(program);
    state.ledgers.erase(program);
    state.programs.erase(program);
}

void handle_create(entry_state& state, const reply_route& route, const workspace_id& workspace,
                   const create_program& request)
{
    if (const auto failure = obstacle(state); failure.failed())
    {
        reply_problem(state, route, failure);
        return;
    }
    if (journal_is_stalled(state))
    {
        reply_problem(state, route,
                      {problem_id::store_unavailable, ran_state::no,
                       "a new program can't be made durable now", std::chrono::seconds{2}});
        return;
    }
    auto spec = request.spec;
    spec.workspace = workspace;
    const bool sub_agent = !spec.parent.empty();
    if (const auto failure = sub_agent ? parent_refusal(state, workspace, spec.parent) : problem{};
        failure.failed())
    {
        reply_problem(state, route, failure);
        return;
    }
    if (const auto failure = apply_workspace(state, spec); failure.failed())
    {
        reply_problem(state, route, failure);
        return;
    }
    auto named = request;
    named.spec.workspace = workspace;
    const auto id = sub_agent           ? sub_agent_id(state, named)
                    : named.key.empty() ? fresh_id(state)
                                        : keyed_id(workspace, named.key);
    if (id.empty())
    {
        reply_problem(state, route,
                      {problem_id::no_home, ran_state::no, "this entry owns no shard yet", retry_soon});
        return;
    }
    if (state.programs.find(id) != nullptr)
    {
        // It may itself be waiting for its record; so does this answer.
        when_durable(state, state.journal->last_ticket(), creation_durable{id, route});
        return;
    }
    create(state, route, id, std::move(spec));
}

void on_creation_durable(entry_state& state, const creation_durable& event)
{
    if (const auto* const program = state.programs.find(event.program))
    {
        reply(state, event.route, status_created, program_document(*program));
    }
}

void handle_history(entry_state& state, const reply_route& route, const workspace_id& workspace,
                    const program_id& program)
{
    const auto* const found = find_program(state, workspace, program);
    if (found == nullptr)
    {
        reply_problem(state, route, unknown_program_problem());
        return;
    }
    const auto open = std::ranges::count_if(
        state.calls, [&](const auto& it)
        { return it.first.program == program && it.second.phase == call_phase::committing; });
    reply(state, route, status_ok,
          history_document(*found, found->turns.size() - static_cast<std::size_t>(open)));
}

void handle_end(entry_state& state, const reply_route& route, const workspace_id& workspace,
                const program_id& program)
{
    const auto* const found = find_program(state, workspace, program);
    if (found == nullptr)
    {
        reply_problem(state, route, unknown_program_problem());
        return;
    }
    if (found->ended)
    {
        when_durable(state, state.journal->last_ticket(), end_is_durable{program, route});
        return;
    }
    if (const auto failure = obstacle(state); failure.failed())
    {
        reply_problem(state, route, failure);
        return;
    }
    journal_ticket last = 0;
    for (const auto& id : tree_of(state, program))
    {
        cancel_calls(state, id);
        release_engines(state, id);
        state.programs.apply(program_ended{id});
        last = append(state, id, program_ended{id});
        state.trace(event_id::program_ended, id);
    }
    when_durable(state, last, end_is_durable{program, route});
}

void on_end_durable(entry_state& state, const end_is_durable& event)
{
    if (const auto* const program = state.programs.find(event.program))
    {
        reply(state, event.route, status_ok, program_document(*program));
    }
}

void handle_list(entry_state& state, const reply_route& route)
{
    std::vector<program_summary> rows;
    for (const auto& [id, program] : state.programs.programs())
    {
        const auto it = state.runtimes.find(id);
        rows.push_back({.program = &program,
                        .active = it != state.runtimes.end() && it->second.active.has_value(),
                        .target = it != state.runtimes.end() ? it->second.last_target : process_name{}});
    }
    reply(state, route, status_ok, programs_document(rows));
}

void run_leases(entry_state& state)
{
    if (state.now < state.next_renewal)
    {
        return;
    }
    state.next_renewal = state.now + state.options.program_lease / 4;
    std::map<process_name, std::vector<program_id>> renewals;
    for (auto& [id, runtime] : state.runtimes)
    {
        const auto* const program = state.programs.find(id);
        const bool idle = !runtime.active && state.now - runtime.last_activity > state.options.idle_limit;
        if (program == nullptr || program->ended || idle)
        {
            runtime.touched.clear();
            runtime.prefixes.clear();
            continue;
        }
        for (const auto& target : runtime.touched)
        {
            renewals[target].push_back(id);
        }
    }
    for (auto& [target, programs] : renewals)
    {
        renew(state, target, std::move(programs));
    }
}

} // namespace masticcourse::detail
