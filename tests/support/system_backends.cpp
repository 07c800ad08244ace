// The system world: engines and services beside target processes.
#include "system_node.hpp"

#include "answer_text.hpp"

#include <algorithm>

namespace masticcourse::tests
{

namespace
{

constexpr int token_parts = 4;

} // namespace

void system_world::do_start(node& at, const engine_start& order)
{
    ++at.record.runs[order.call];
    const auto token = ++m_order;
    at.running[order.call] = token;
    if (at.hangs)
    {
        return;
    }
    if (at.is_model)
    {
        stream_answer(at, order, m_options.model_time);
        return;
    }
    const auto time = m_options.tool_time / 2 +
                      core_duration{random(1 + static_cast<std::uint64_t>(m_options.tool_time.count()))};
    after(time,
          [this, &at, order, token]
          {
              const auto it = at.running.find(order.call);
              if (it == at.running.end() || it->second != token)
              {
                  return;
              }
              if (at.lose_answers > 0)
              {
                  --at.lose_answers;
                  finish_call(at, order.call,
                              {.error = {problem_id::target_failed, ran_state::unknown, "answer lost"}});
                  return;
              }
              finish_call(at, order.call, {.output = tool_answer(order.call, order.request.input)});
          });
}

void system_world::stream_answer(node& at, const engine_start& order, core_duration time)
{
    const auto token = at.running.at(order.call);
    const auto answer = standins::completion_text(order.prompt, order.request.max_tokens);
    token_count prompt = 0;
    std::ranges::for_each(order.prompt, [&](const std::string& it) { prompt += estimate_tokens(it); });
    const auto words = estimate_tokens(answer);
    at.record.held[order.call.program] = prompt + words;
    at.record.computed[order.call.program] += prompt + words;
    const auto still_runs = [&at, call = order.call, token]
    {
        const auto it = at.running.find(call);
        return it != at.running.end() && it->second == token;
    };
    for (int part = 0; part < token_parts; ++part)
    {
        const auto size = answer.size();
        const auto from = size * static_cast<std::size_t>(part) / token_parts;
        const auto to = size * static_cast<std::size_t>(part + 1) / token_parts;
        const auto input =
            engine_tokens{order.call, static_cast<std::uint64_t>(part), answer.substr(from, to - from)};
        after(time * (part + 1) / (token_parts + 1),
              [this, &at, still_runs, input]
              {
                  if (still_runs() && at.alive())
                  {
                      at.target_inbox.emplace_back(input);
                      at.wakeup = std::min(at.wakeup, m_now);
                  }
              });
    }
    const call_outcome outcome{.output = answer, .usage = {.prompt = prompt, .completion = words}};
    after(time,
          [this, &at, still_runs, call = order.call, outcome]
          {
              if (still_runs())
              {
                  finish_call(at, call, outcome);
              }
          });
}

void system_world::finish_call(node& at, const call_ref& call, call_outcome outcome)
{
    at.running.erase(call);
    if (at.alive())
    {
        at.target_inbox.emplace_back(engine_finished{call, std::move(outcome)});
        at.wakeup = std::min(at.wakeup, m_now);
    }
}

void system_world::do_cancel(node& at, const engine_cancel& order)
{
    if (at.running.contains(order.call))
    {
        finish_call(at, order.call, {.error = {problem_id::cancelled, ran_state::unknown, "cancelled"}});
    }
}

void system_world::do_list(node& at)
{
    engine_listing listing;
    for (const auto& [program, tokens] : at.record.held)
    {
        listing.programs.push_back({program, tokens});
    }
    at.target_inbox.emplace_back(std::move(listing));
    at.wakeup = std::min(at.wakeup, m_now);
}

} // namespace masticcourse::tests
