#include "masticcourse/policy/rate_meter.hpp"

#include <algorithm>

namespace masticcourse
{

namespace
{

using seconds = std::chrono::duration<double>;

/// Weight of a new sample in the exponential moving averages.
constexpr double sample_weight = 0.1;
/// Shorter prefills are ignored: their time reflects the batch step that they shared rather than the speed
/// of the engine.
constexpr token_count min_prefill_tokens = 256;
constexpr token_count min_decode_tokens = 4;

void update_average(double& average, double sample)
{
    average += sample_weight * (sample - average);
}

token_count scaled_tokens(token_count tokens, double fraction)
{
    return static_cast<token_count>(static_cast<double>(tokens) * fraction);
}

} // namespace

rate_meter::rate_meter(const engine_speed& initial_speed, std::uint32_t slots)
    : m_speed(initial_speed), m_slots(slots)
{
}

void rate_meter::on_prefill(token_count tokens, core_duration elapsed)
{
    if (tokens >= min_prefill_tokens && elapsed > core_duration::zero())
    {
        update_average(m_speed.prefill_rate, static_cast<double>(tokens) / seconds{elapsed}.count());
    }
}

void rate_meter::on_decode(token_count tokens, core_duration elapsed, token_count max_tokens)
{
    if (tokens >= min_decode_tokens && elapsed > core_duration::zero())
    {
        update_average(m_speed.decode_rate, static_cast<double>(tokens) * m_slots / seconds{elapsed}.count());
    }
    if (max_tokens > 0)
    {
        const double length_ratio = static_cast<double>(tokens + 1) / static_cast<double>(max_tokens);
        update_average(m_answer_length_ratio, std::min(length_ratio, 1.0));
    }
}

engine_speed rate_meter::speed() const
{
    return m_speed;
}

double rate_meter::answer_length_ratio() const
{
    return m_answer_length_ratio;
}

target_load make_load_report(const target_queue& queue, const engine_admission& engine,
                             const rate_meter& meter)
{
    target_load load;
    load.queued = static_cast<std::uint32_t>(queue.size());
    load.running = engine.running_count();
    load.queued_prefill = queue.queued_prefill() + engine.pending_prefill_tokens();
    load.queued_decode = scaled_tokens(queue.queued_decode(), meter.answer_length_ratio());
    load.prefill_rate = meter.speed().prefill_rate;
    load.decode_rate = meter.speed().decode_rate;
    return load;
}

} // namespace masticcourse
