#include "engine_model.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <sstream>
#include <utility>

namespace masticcourse::standins
{

namespace
{

core_duration seconds_to_duration(double seconds)
{
    return std::chrono::duration_cast<core_duration>(std::chrono::duration<double>{seconds});
}

token_count sum_tokens(const std::vector<prompt_segment>& segments, std::size_t count)
{
    const auto end = segments.begin() + static_cast<std::ptrdiff_t>(count);
    return std::accumulate(segments.begin(), end, token_count{0},
                           [](token_count sum, const prompt_segment& it) { return sum + it.tokens; });
}

} // namespace

engine_model::engine_model(const engine_options& options)
    : m_options(options), m_cache(options.cache_capacity)
{
}

void engine_model::start(engine_request request, core_time now)
{
    sequence s;
    s.prompt_key = compute_prefix_key(request.prompt);
    s.segments = to_segments(request.prompt);
    s.prompt_tokens = sum_tokens(s.segments, s.segments.size());
    s.completion_length = std::max<token_count>(1, std::min(request.answer_tokens, request.max_tokens));
    s.request = std::move(request);
    m_queue.push_back(std::move(s));
    if (!m_step_end)
    {
        begin_step(now, m_pending_events);
    }
}

bool engine_model::cancel(const stream_id& stream, core_time now)
{
    const auto matches = [&stream](const sequence& s) { return s.request.stream == stream; };
    if (std::erase_if(m_queue, matches) > 0)
    {
        return true;
    }
    const auto it = std::ranges::find_if(m_running, matches);
    if (it == m_running.end())
    {
        return false;
    }
    retire(*it, false, now);
    m_running.erase(it);
    return true;
}

std::vector<engine_event> engine_model::advance(core_time now)
{
    std::vector<engine_event> events = std::exchange(m_pending_events, {});
    while (m_step_end && *m_step_end <= now)
    {
        const core_time end = *m_step_end;
        finish_step(end, events);
        begin_step(end, events);
    }
    return events;
}

void engine_model::free_program(const program_id& program)
{
    m_cache.free_program(program);
}

std::string engine_model::export_prefix(const program_id& program) const
{
    std::ostringstream text;
    for (const auto& it : m_cache.program_segments(program))
    {
        text << it.key << ' ' << it.parent << ' ' << it.tokens << '\n';
    }
    return text.str();
}

bool engine_model::import_prefix(const program_id& program, const std::string& bytes, core_time now)
{
    std::istringstream text{bytes};
    prompt_segment segment;
    bool all_inserted = true;
    while (text >> segment.key >> segment.parent >> segment.tokens)
    {
        all_inserted =
            m_cache.make_room(segment.tokens) && m_cache.insert(program, segment, now) && all_inserted;
    }
    return text.eof() && all_inserted;
}

engine_load engine_model::load() const
{
    engine_load load{.queued = static_cast<std::uint32_t>(m_queue.size()),
                     .running = static_cast<std::uint32_t>(m_running.size()),
                     .cache_used = m_cache.used(),
                     .cache_capacity = m_cache.capacity()};
    for (const auto& s : m_queue)
    {
        load.pending_prefill += s.prompt_tokens;
        load.pending_decode += s.completion_length;
    }
    for (const auto& s : m_running)
    {
        load.pending_prefill += s.remaining_prefill;
        load.pending_decode += s.completion_length - s.generated;
    }
    return load;
}

void engine_model::admit(core_time now, std::vector<engine_event>& events)
{
    while (!m_queue.empty() && m_running.size() < m_options.max_running)
    {
        sequence& head = m_queue.front();
        if (head.prompt_tokens + head.completion_length > m_options.cache_capacity)
        {
            events.emplace_back(
                finished_event{.stream = head.request.stream, .usage = {}, .too_long = true, .at = now});
            m_queue.pop_front();
            continue;
        }
        // Pin the cached segments first, so that make_room does not evict them to fit the remaining ones.
        const std::size_t cached = m_cache.cached_segments(head.segments);
        const std::vector<prompt_segment> cached_prefix(
            head.segments.begin(), head.segments.begin() + static_cast<std::ptrdiff_t>(cached));
        m_cache.pin(head.request.program, cached_prefix, 0, now);
        const bool fits = m_cache.make_room(m_cache.missing_tokens(head.segments) + head.completion_length);
        if (fits)
        {
            activate(head, now);
        }
        m_cache.unpin(cached_prefix, now);
        if (!fits)
        {
            return;
        }
        m_running.push_back(std::move(head));
        m_queue.pop_front();
    }
}

void engine_model::activate(sequence& s, core_time now)
{
    const std::size_t cached = m_cache.cached_segments(s.segments);
    m_cache.pin(s.request.program, s.segments, cached, now);
    m_cache.reserve(s.completion_length);
    s.cached_tokens = sum_tokens(s.segments, cached);
    s.remaining_prefill = s.prompt_tokens - s.cached_tokens;
    s.next_segment = cached;
    s.next_segment_remaining = cached < s.segments.size() ? s.segments[cached].tokens : 0;
}

void engine_model::begin_step(core_time now, std::vector<engine_event>& events)
{
    admit(now, events);
    m_step_end.reset();
    if (m_running.empty())
    {
        return;
    }
    schedule_prefill();
    m_step_end = now + step_duration();
}

void engine_model::schedule_prefill()
{
    token_count remaining_budget = m_options.prefill_chunk;
    auto prefilling =
        std::ranges::count_if(m_running, [](const sequence& s) { return s.remaining_prefill > 0; });
    for (auto& s : m_running)
    {
        s.scheduled_prefill = 0;
        s.decoding = s.remaining_prefill == 0;
        if (!s.decoding)
        {
            s.scheduled_prefill =
                std::min(s.remaining_prefill, std::max<token_count>(1, remaining_budget / prefilling));
            remaining_budget -= s.scheduled_prefill;
            prefilling -= 1;
        }
    }
}

core_duration engine_model::step_duration() const
{
    token_count prefilled = 0;
    std::int64_t decoding = 0;
    for (const auto& s : m_running)
    {
        prefilled += s.scheduled_prefill;
        decoding += s.decoding ? 1 : 0;
    }
    core_duration step_time = seconds_to_duration(static_cast<double>(prefilled) / m_options.prefill_rate);
    if (decoding > 0)
    {
        step_time += m_options.decode_step + m_options.decode_step_per_sequence * decoding;
    }
    const core_duration min_duration{1};
    return std::max(min_duration,
                    seconds_to_duration(std::chrono::duration<double>{step_time}.count() * m_slowdown));
}

void engine_model::finish_step(core_time now, std::vector<engine_event>& events)
{
    for (auto& s : m_running)
    {
        prefill(s);
        if (s.remaining_prefill == 0)
        {
            // The step that completes the prefill also produces the first token.
            decode(s, now, events);
        }
    }
    std::erase_if(m_running, [](const sequence& s) { return s.generated == s.completion_length; });
}

void engine_model::prefill(sequence& s)
{
    s.remaining_prefill -= s.scheduled_prefill;
    token_count computed_tokens = std::exchange(s.scheduled_prefill, 0);
    while (s.next_segment < s.segments.size() && computed_tokens >= s.next_segment_remaining)
    {
        computed_tokens -= s.next_segment_remaining;
        m_cache.mark_computed(s.segments[s.next_segment]);
        s.next_segment += 1;
        s.next_segment_remaining = s.next_segment < s.segments.size() ? s.segments[s.next_segment].tokens : 0;
    }
    s.next_segment_remaining -= computed_tokens;
}

void engine_model::decode(sequence& s, core_time now, std::vector<engine_event>& events)
{
    const auto index = static_cast<std::uint64_t>(s.generated);
    s.generated += 1;
    events.emplace_back(token_event{
        .stream = s.request.stream, .index = index, .text = completion_word(s.prompt_key, index), .at = now});
    if (s.generated < s.completion_length)
    {
        return;
    }
    retire(s, true, now);
    events.emplace_back(finished_event{
        .stream = s.request.stream,
        .usage = {.prompt = s.prompt_tokens, .cached = s.cached_tokens, .completion = s.generated},
        .at = now});
}

void engine_model::retire(sequence& s, bool cache_completion, core_time now)
{
    m_cache.unreserve(s.completion_length);
    if (cache_completion)
    {
        const std::string text = completion_text(s.request.prompt, s.generated);
        m_cache.insert(
            s.request.program,
            {.key = extend_prefix_key(s.prompt_key, text), .parent = s.prompt_key, .tokens = s.generated},
            now);
    }
    m_cache.unpin(s.segments, now);
}

} // namespace masticcourse::standins
