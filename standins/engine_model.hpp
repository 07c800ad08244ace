/// @file
/// Simulated model engine in virtual time: continuous batching, a prefix cache of bounded size, FIFO
/// admission without priorities. Performs no I/O; driven by the HTTP stand-in, the benchmarks and the
/// randomized tests.
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
    /// Maximum number of sequences in the batch.
    std::uint32_t max_running = 16;
    /// Memory for prompts, completions and cached prefixes together, in tokens.
    token_count cache_capacity = 200'000;
    /// Prompt tokens per second, shared by all prefilling sequences.
    double prefill_rate = 8'000;
    /// Maximum number of prompt tokens computed in one step.
    token_count prefill_chunk = 1'024;
    /// Duration of a decoding step: a fixed base plus a share for each decoding sequence.
    core_duration decode_step = std::chrono::milliseconds{15};
    core_duration decode_step_per_sequence = std::chrono::microseconds{500};
};

struct engine_request
{
    stream_id stream;
    program_id program;
    std::vector<std::string> prompt;
    token_count max_tokens = 0;
    /// Natural length of the completion. The engine generates at least one token and at most @a max_tokens.
    token_count answer_tokens = 1;
};

/// @name Events
/// @{
struct token_event
{
    stream_id stream;
    /// Zero-based index of the token in its stream.
    std::uint64_t index = 0;
    std::string text;
    core_time at;
};

struct finished_event
{
    stream_id stream;
    token_usage usage;
    /// The request exceeds the engine's memory capacity; nothing was computed.
    bool too_long = false;
    core_time at;
};

using engine_event = std::variant<token_event, finished_event>;
/// @}

struct engine_load
{
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    /// Remaining work of queued and running sequences, in tokens.
    token_count pending_prefill = 0;
    token_count pending_decode = 0;
    token_count cache_used = 0;
    token_count cache_capacity = 0;
};

/// Discrete-event model of the engine. Call @ref advance with the current time before any other member that
/// takes a time.
class engine_model
{
  public:
    explicit engine_model(const engine_options& options);

    /// Queues a request. Requests are admitted to the batch in order of arrival.
    void start(engine_request request, core_time now);

    /// Aborts a stream and releases its memory. Emits no event.
    /// @return whether the stream existed
    bool cancel(const stream_id& stream, core_time now);

    /// Completes all steps that end at or before @a now.
    /// @return the resulting events in chronological order
    std::vector<engine_event> advance(core_time now);

    /// @return the end of the current step, or nothing if the engine is idle
    [[nodiscard]] std::optional<core_time> next_event_time() const
    {
        return m_step_end;
    }

    /// Frees the cached prefixes of a program, except those used by other programs or running streams.
    void free_program(const program_id& program);

    /// @return the serialized cached prefixes of a program; stands in for an engine's KV cache export
    [[nodiscard]] std::string export_prefix(const program_id& program) const;

    /// Imports prefixes exported by another engine.
    /// @return whether @a bytes were valid and all segments were inserted
    bool import_prefix(const program_id& program, const std::string& bytes, core_time now);

    /// @return all programs that occupy cache memory
    [[nodiscard]] std::vector<cached_program> cached_programs() const
    {
        return m_cache.cached_programs();
    }

    [[nodiscard]] engine_load load() const;

    [[nodiscard]] const cache_counters& counters() const
    {
        return m_cache.counters();
    }

    /// Multiplies the duration of subsequent steps by @a factor; 1 is the configured speed.
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
        /// Prompt tokens not computed yet, and how many of them the current step computes.
        token_count remaining_prefill = 0;
        token_count scheduled_prefill = 0;
        std::size_t next_segment = 0;
        token_count next_segment_remaining = 0;
        token_count completion_length = 0;
        token_count generated = 0;
        /// Whether the current step decodes a token of this sequence.
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
    /// Events of a step begun outside @ref advance; returned by the next call of @ref advance.
    std::vector<engine_event> m_pending_events;
};

} // namespace masticcourse::standins
