#include "api_documents.hpp"

#include "masticcourse/model/names.hpp"

#include <nlohmann/json.hpp>

namespace masticcourse::detail
{

namespace
{

using nlohmann::json;

/// Text of engines and services may be no UTF-8; a reply is always valid JSON.
std::string text_of(const json& document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

json problem_json(const problem& failure)
{
    json document{{"type", "urn:masticcourse:problem:" + std::to_string(static_cast<int>(failure.id))},
                  {"title", title_of(failure.id)},
                  {"status", http_status(failure.id)},
                  {"detail", failure.detail},
                  {"id", static_cast<int>(failure.id)},
                  {"ran", to_string(failure.ran)}};
    if (failure.retry_after)
    {
        document["retry_after_ms"] = failure.retry_after->count();
    }
    return document;
}

json usage_json(const token_usage& usage)
{
    return {{"prompt", usage.prompt}, {"cached", usage.cached}, {"completion", usage.completion}};
}

json outcome_json(const call_outcome& outcome)
{
    json document{{"output", outcome.output}, {"usage", usage_json(outcome.usage)}, {"ran", "yes"}};
    if (outcome.error.failed())
    {
        document["ran"] = to_string(outcome.error.ran);
        document["problem"] = problem_json(outcome.error);
    }
    return document;
}

json turn_json(const turn& it)
{
    json document = outcome_json(it.outcome);
    document["turn"] = it.number;
    document["key"] = it.key.value;
    document["service"] = it.service.value;
    document["kind"] = to_string(it.kind);
    document["input"] = it.input;
    return document;
}

json program_json(const program_state& program)
{
    json document{{"program", program.program.value},
                  {"workspace", program.spec.workspace.value},
                  {"class", to_string(program.spec.priority)},
                  {"budget", program.spec.budget},
                  {"spent", program.spent},
                  {"turns", program.turns.size()},
                  {"ended", program.ended}};
    if (!program.spec.parent.empty())
    {
        document["parent"] = program.spec.parent.value;
    }
    return document;
}

} // namespace

std::string problem_document(const problem& failure)
{
    return text_of(problem_json(failure));
}

std::string program_document(const program_state& program)
{
    return text_of(program_json(program));
}

std::string history_document(const program_state& program, std::size_t durable_turns)
{
    json document = program_json(program);
    document["durable_turns"] = durable_turns;
    document["history"] = json::array();
    for (const auto& it : program.turns)
    {
        document["history"].push_back(turn_json(it));
    }
    return text_of(document);
}

std::string programs_document(const std::vector<program_summary>& programs)
{
    json rows = json::array();
    for (const auto& it : programs)
    {
        json row = program_json(*it.program);
        row["active"] = it.active;
        row["target"] = it.target.value;
        rows.push_back(std::move(row));
    }
    return text_of(json{{"programs", std::move(rows)}});
}

std::string outcome_document(std::uint32_t turn_number, const call_key& key, const call_outcome& outcome,
                             bool durable)
{
    json document = outcome_json(outcome);
    document["turn"] = turn_number;
    document["key"] = key.value;
    document["durability"] = durable ? "durable" : "pending";
    return text_of(document);
}

std::string token_document(const std::string& text)
{
    return text_of(json{{"text", text}});
}

std::string status_document(const entry_summary& status)
{
    json peers = json::array();
    for (const auto& it : status.peers)
    {
        peers.push_back({{"name", it.name.value},
                         {"role", it.role == process_role::entry ? "entry" : "target"},
                         {"live", it.live},
                         {"leaving", it.leaving}});
    }
    return text_of(json{{"name", status.name.value},
                        {"incarnation", status.incarnation.value},
                        {"ready", status.counts.ready},
                        {"programs", status.counts.programs},
                        {"calls_in_progress", status.counts.calls_in_progress},
                        {"shards_owned", status.counts.shards_owned},
                        {"calls_accepted", status.counts.calls_accepted},
                        {"calls_finished", status.counts.calls_finished},
                        {"calls_refused", status.counts.calls_refused},
                        {"retries", status.counts.retries},
                        {"takeovers", status.counts.takeovers},
                        {"config", status.config},
                        {"store_reachable", status.store_reachable},
                        {"peers", std::move(peers)}});
}

} // namespace masticcourse::detail
