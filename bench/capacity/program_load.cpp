#include "program_load.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace masticcourse::capacity
{

namespace
{

using nlohmann::json;
using namespace std::chrono_literals;

constexpr token_count budget = 900'000;
constexpr token_count answer_tokens = 64;
constexpr core_duration retry_after = 100ms;
constexpr core_duration longest = 200s;
const workspace_id workspace{"w1"};

} // namespace

program_load::program_load(tests::system_world& world, std::size_t input_bytes)
    : m_world(world), m_input_bytes(input_bytes)
{
}

std::size_t program_load::refusals() const
{
    return m_refusals;
}

void program_load::create(std::size_t programs)
{
    m_rows.resize(programs);
    for (std::size_t n = 0; n < programs; ++n)
    {
        m_world.after(2ms * static_cast<int>(n), [this, n] { send_create(n); });
    }
    const auto all = [&]
    { return std::ranges::none_of(m_rows, [](const row& it) { return it.id.value.empty(); }); };
    if (!m_world.run_until(all, longest))
    {
        throw std::runtime_error{"the programs were not created"};
    }
}

void program_load::send_create(std::size_t number)
{
    const json body{{"budget", budget}};
    m_world.request(number % m_world.options().entries,
                    {.method = "POST",
                     .path = "/v1/programs",
                     .body = body.dump(),
                     .key = "p" + std::to_string(number),
                     .workspace = workspace},
                    [this, number](const tests::caller_answer& answer)
                    {
                        const auto document = json::parse(answer.body, nullptr, false);
                        if (!document.is_object() || !document.contains("program"))
                        {
                            ++m_refusals;
                            m_world.after(retry_after, [this, number] { send_create(number); });
                            return;
                        }
                        m_rows[number].id = {document.at("program").get<std::string>()};
                    });
}

void program_load::start_turns(std::size_t turns, core_duration pace, core_duration pause)
{
    m_pause = pause;
    for (std::size_t n = 0; n < m_rows.size(); ++n)
    {
        m_rows[n].wanted += turns;
        m_world.after(pace * static_cast<int>(n), [this, n] { send_turn(n); });
    }
}

void program_load::run_turns(std::size_t turns, core_duration pace)
{
    start_turns(turns, pace, core_duration{});
    if (!m_world.run_until([&] { return all_done(); }, longest))
    {
        throw std::runtime_error{"the turns were not taken"};
    }
}

std::size_t program_load::turns_taken() const
{
    std::size_t sum = 0;
    std::ranges::for_each(m_rows, [&](const row& it) { sum += it.turns; });
    return sum;
}

bool program_load::all_done() const
{
    return std::ranges::all_of(m_rows, [](const row& it) { return it.turns == it.wanted; });
}

void program_load::send_turn(std::size_t number)
{
    const auto& program = m_rows[number];
    auto input = "turn " + std::to_string(program.turns) + " ";
    input.resize(m_input_bytes, 'x');
    const json body{{"service", "model"},
                    {"input", input},
                    {"idempotent", true},
                    {"max_tokens", answer_tokens},
                    {"after", program.turns}};
    m_world.request(number % m_world.options().entries,
                    {.method = "POST",
                     .path = "/v1/programs/" + program.id.value + "/calls",
                     .body = body.dump(),
                     .key = "c" + std::to_string(program.turns),
                     .workspace = workspace},
                    [this, number](const tests::caller_answer& answer)
                    {
                        const auto document = json::parse(answer.body, nullptr, false);
                        auto& it = m_rows[number];
                        if (!document.is_object() || !document.contains("turn"))
                        {
                            ++m_refusals;
                            m_world.after(retry_after, [this, number] { send_turn(number); });
                            return;
                        }
                        ++it.turns;
                        if (it.turns < it.wanted)
                        {
                            m_world.after(m_pause, [this, number] { send_turn(number); });
                        }
                    });
}

} // namespace masticcourse::capacity
