#include "masticcourse/policy/rate_meter.hpp"

#include <algorithm>

namespace masticcourse
{

namespace
{

using seconds = std::chrono::duration<double>;

/// The weight of one call among the earlier ones.
constexpr double call_weight = 0.1;
/// A prefill shorter than this says more of the step that it shared than of the engine's speed.
constexpr token_count fewest_prefill_tokens = 256;
constexpr token_count fewest_decode_tokens = 4;

void mix(double& average, double sample)
{
    average += call_weight * (sample - average);
}

token_count shared(token_count tokens, double share)
{
    return static_cast<token_count>(static_cast<double>(tokens) * share);
}

} // namespace

rate_meter::rate_meter(const engine_speed& nominal, std::uint32_t slots) : m_speed(nominal), m_slots(slots) {}

void rate_meter::on_prefill(token_count tokens, core_duration took)
{
    if (tokens >= fewest_prefill_tokens && took > core_duration::zero())
    {
        mix(m_speed.prefill_rate, static_cast<double>(tokens) / seconds{took}.count());
    }
}

void rate_meter::on_decode(token_count tokens, core_duration took, token_count max_tokens)
{
    if (tokens >= fewest_decode_tokens && took > core_duration::zero())
    {
        mix(m_speed.decode_rate, static_cast<double>(tokens) * m_slots / seconds{took}.count());
    }
    if (max_tokens > 0)
    {
        const double part = static_cast<double>(tokens + 1) / static_cast<double>(max_tokens);
        mix(m_answer_share, std::min(part, 1.0));
    }
}

engine_speed rate_meter::speed() const
{
    return m_speed;
}

double rate_meter::answer_share() const
{
    return m_answer_share;
}

target_load describe_load(const target_queue& queue, const engine_admission& engine, const rate_meter& meter)
{
    target_load load;
    load.queued = static_cast<std::uint32_t>(queue.size());
    load.running = engine.running();
    load.queued_prefill = queue.queued_prefill() + engine.prefilling();
    load.queued_decode = shared(queue.queued_decode(), meter.answer_share());
    load.prefill_rate = meter.speed().prefill_rate;
    load.decode_rate = meter.speed().decode_rate;
    return load;
}

} // namespace masticcourse
