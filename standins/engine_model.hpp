/// @file
/// A model engine in virtual time: continuous batching, a prefix cache in bounded memory, no priorities.
/// It does no I/O; the HTTP stand-in, the benchmarks and the randomised tests drive it.
#pragma once

#include "answer_text.hpp"
#include "masticcourse/core/clock.hpp"
#include "masticcourse/core/ids.hpp"
#include "masticcourse/messages/peer_message.hpp"
#include "masticcourse/model/call.hpp"
#include "prefix_cache.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace masticcourse::standins
{

using stream_id = strong_string<struct stream_id_tag>;

struct engine_options
{
    /// Most sequences in the batch.
    std::uint32_t max_running = 16;
    /// Memory for prompts, answers and cached prefixes together, in tokens.
    token_count cache_capacity = 200'000;
    /// Prompt tokens a second, shared by all sequences that prefill.
    double prefill_rate = 8'000;
    /// Most prompt tokens that one step computes.
    token_count prefill_chunk = 1'024;
    /// The time of a step that decodes: a base, and a part for each sequence that decodes.
    core_duration decode_step = std::chrono::milliseconds{15};
    core_duration decode_step_per_sequence = std::chrono::microseconds{500};
};

struct engine_request
{
    stream_id stream;
    program_id program;
    std::vector<std::string> prompt;
    token_count max_tokens = 0;
    /// How long the answer would be by itself; at least one token, at most @a max_tokens are given.
    token_count answer_tokens = 1;
};

/// @name Events
/// @{
struct token_event
{
    stream_id stream;
    /// From 0.
    std::uint64_t index = 0;
    std::string text;
    core_time at;
};

struct finished_event
{
    stream_id stream;
    token_usage usage;
    /// The request can never fit into the engine's memory; nothing was computed.
    bool too_long = false;
    core_time at;
};

using engine_event = std::variant<token_event, finished_event>;
/// @}

struct engine_load
{
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    /// Work of queued and running sequences that is still to be done.
    token_count pending_prefill = 0;
    token_count pending_decode = 0;
    token_count cache_used = 0;
    token_count cache_capacity = 0;
};

/// The engine. Call @ref advance up to the present before any other call with a time.
class engine_model
{
  public:
    explicit engine_model(const engine_options& options);

    /// Queues a request; the engine admits in order of arrival.
    void start(engine_request request, core_time now);

    /// Ends a stream and frees its memory; no event follows.
    /// @return whether there was such a stream
    bool cancel(const stream_id& stream, core_time now);

    /// Runs all steps that end by @a now.
    /// @return what happened, in order
    std::vector<engine_event> advance(core_time now);

    /// @return when the step under way ends, if the engine is not idle
    [[nodiscard]] std::optional<core_time> next_event_time() const
    {
        return m_step_end;
    }

    /// Frees the cached prefixes of a program, but for those that other programs or running streams use.
    void free_program(const program_id& program);

    /// @return a program's cached prefix as bytes (what an engine's KV export would be)
    [[nodiscard]] std::string export_prefix(const program_id& program) const;

    /// Takes over a prefix that another engine exported.
    /// @return whether @a bytes were valid and all of it fitted
    bool import_prefix(const program_id& program, const std::string& bytes, core_time now);

    /// @return the full listing: all programs that hold memory
    [[nodiscard]] std::vector<cached_program> cached_programs() const
    {
        return m_cache.cached_programs();
    }

    [[nodiscard]] engine_load load() const;

    [[nodiscard]] const cache_counters& counters() const
    {
        return m_cache.counters();
    }

    /// Makes every later step @a factor times as long (1: as fast as the options say).
    void set_slowdown(double factor)
    {
        m_slowdown = factor;
    }

  private:
    struct sequence
    {
        engine_request request;
        prefix_key prompt_key = empty_prefix;
        std::vector<prompt_segment> segments;
        token_count prompt_tokens = 0;
        token_count cached_tokens = 0;
        /// Prompt tokens still to compute, and how many of them the step under way computes.
        token_count remaining_prefill = 0;
        token_count scheduled_prefill = 0;
        std::size_t next_segment = 0;
        token_count next_segment_remaining = 0;
        token_count completion_length = 0;
        token_count generated = 0;
        /// Whether the step under way decodes a token of it.
        bool decoding = false;
    };

    void admit(core_time now, std::vector<engine_event>& events);
    void activate(sequence& s, core_time now);
    void begin_step(core_time now, std::vector<engine_event>& events);
    void schedule_prefill();
    void finish_step(core_time now, std::vector<engine_event>& events);
    void prefill(sequence& s);
    void decode(sequence& s, core_time now, std::vector<engine_event>& events);
    void retire(sequence& s, bool cache_completion, core_time now);
    [[nodiscard]] core_duration step_duration() const;

    engine_options m_options;
    prefix_cache m_cache;
    double m_slowdown = 1;
    std::deque<sequence> m_queue;
    std::vector<sequence> m_running;
    std::optional<core_time> m_step_end;
    /// Events of a step that began outside of @ref advance.
    std::vector<engine_event> m_pending_events;
};

} // namespace masticcourse::standins
