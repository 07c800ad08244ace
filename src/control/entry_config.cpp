// The configuration: followed by the versions that peers name, changed by operators' patches against a
// version.
#include "api_documents.hpp"
#include "entry_systems.hpp"

#include "masticcourse/settings/config_document.hpp"

namespace masticcourse::detail
{

namespace
{

constexpr int status_ok = 200;
constexpr auto patch_patience = std::chrono::seconds{10};

void answer_patch(entry_state& state, const patch_row& row)
{
    const auto& version = row.machine.row().version;
    const auto in_force = "version " + std::to_string(version) + " is in force";
    switch (row.machine.state())
    {
    case patch_state::accepted:
        state.config.apply(version, row.machine.row().document);
        state.trace(event_id::config_accepted, {}, {}, {{"version", std::to_string(version)}});
        reply(state, row.route, status_ok, row.machine.row().document, version);
        return;
    case patch_state::conflict:
        state.trace(event_id::config_conflict, {}, {}, {{"version", std::to_string(version)}});
        reply(state, row.route, http_status(problem_id::version_conflict),
              problem_document({problem_id::version_conflict, ran_state::no, in_force}), version);
        return;
    case patch_state::rejected:
        state.trace(event_id::config_rejected, {}, {}, {{"reason", row.fault}});
        reply_problem(state, row.route, {problem_id::invalid_patch, ran_state::no, row.fault});
        return;
    case patch_state::damaged_row:
        reply_problem(state, row.route,
                      {problem_id::store_unavailable, ran_state::no, "the stored configuration is damaged"});
        return;
    case patch_state::pending:
    case patch_state::unknown:
        break;
    }
    const auto ran = row.machine.may_be_accepted() ? ran_state::unknown : ran_state::no;
    reply_problem(state, row.route,
                  {problem_id::store_unavailable, ran,
                   "the store has not answered; read the configuration before trying again",
                   std::chrono::seconds{2}});
}

/// The first entry of a new deployment writes version 1.
void write_first(entry_state& state)
{
    if (state.options.initial_config.empty() || !state.config.ready() || state.config.version() > 0 ||
        !state.patches.empty())
    {
        return;
    }
    const auto first = state.options.initial_config;
    const auto id = state.next_patch++;
    auto machine = config_patch{0,
                                state.options.incarnation.value + "/first",
                                [first](const std::string& /*document*/) { return std::optional{first}; },
                                {}};
    state.patches.emplace(id, patch_row{.machine = std::move(machine),
                                        .route = forwarded_caller{},
                                        .expires = state.now + patch_patience});
}

/// Makes the document's content what this process works by. One that can't be read changes nothing.
void apply_view(entry_state& state)
{
    auto view = parse_config(state.config.document());
    if (!view)
    {
        state.trace(event_id::config_invalid);
        return;
    }
    state.view = std::move(*view);
}

void run_patches(entry_state& state)
{
    std::vector<std::uint64_t> ended;
    for (auto& [id, row] : state.patches)
    {
        if (auto operation = row.machine.poll(state.now))
        {
            run_on_store(state, std::move(*operation), patch_purpose{id});
        }
        if (row.machine.state() != patch_state::pending || state.now >= row.expires)
        {
            ended.push_back(id);
        }
    }
    for (const auto id : ended)
    {
        answer_patch(state, state.patches.at(id));
        state.patches.erase(id);
    }
}

} // namespace

void handle_get_config(entry_state& state, const reply_route& route)
{
    reply(state, route, status_ok, state.config.document(), state.config.version());
}

void handle_patch_config(entry_state& state, const reply_route& route, const patch_config& request)
{
    const auto id = state.next_patch++;
    auto& row = state.patches
                    .emplace(id, patch_row{.machine = config_patch{request.expected, {}, {}, {}},
                                           .route = route,
                                           .expires = state.now + patch_patience})
                    .first->second;
    auto* const fault = &row.fault;
    const auto apply = [patch = request.patch,
                        fault](const std::string& document) -> std::optional<std::string>
    {
        auto result = apply_merge_patch(document, patch);
        if (const auto* const faults = std::get_if<std::vector<config_error>>(&result))
        {
            *fault = to_string(*faults);
            return std::nullopt;
        }
        return std::get<accepted_config>(std::move(result)).document;
    };
    row.machine =
        config_patch{request.expected, state.options.incarnation.value + "/" + std::to_string(id), apply, {}};
}

void on_patch_reply(entry_state& state, std::uint64_t patch, const store_reply& reply)
{
    if (const auto it = state.patches.find(patch); it != state.patches.end())
    {
        it->second.machine.on_reply(reply, state.now);
    }
}

void run_config(entry_state& state)
{
    if (auto operation = state.config.poll(state.now))
    {
        run_on_store(state, std::move(*operation), config_purpose{});
    }
    if (const auto fetch = state.config.poll_peers(state.now))
    {
        for (const auto& [name, peer] : state.peers)
        {
            if (peer.live && peer.incarnation == fetch->peer)
            {
                send(state, *peer.link, fetch->request);
            }
        }
    }
    write_first(state);
    run_patches(state);
    if (state.config.version() > state.config_applied)
    {
        state.config_applied = state.config.version();
        apply_view(state);
        state.trace(event_id::config_applied, {}, {}, {{"version", std::to_string(state.config_applied)}});
    }
}

} // namespace masticcourse::detail
