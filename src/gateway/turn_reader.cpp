#include "masticcourse/gateway/turn_reader.hpp"

#include "masticcourse/gateway/partition.hpp"
#include "masticcourse/memory/free_storage.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// Turns that are read at a time, each by one call for a row: more than a site's programs ask for in the few
/// milliseconds that a call takes.
constexpr std::size_t max_in_progress = 64;
/// How often a turn of several rows is held at a time: its rows, their text, the document, the record.
constexpr std::size_t copies_while_read = 4;

} // namespace

/// A turn, as far as its rows have been read.
struct turn_reader::reading
{
    request_id id;
    /// Those that asked before the reading began.
    std::vector<turn_callback> asked;
    /// Those that asked later; for them, a turn that was missing may exist by now.
    std::vector<turn_callback> joined;
    memory_lease memory;
    bool begun = false;
    std::vector<std::string> chunks;
    turn_ptr record;

    /// @return whether the record has been decoded
    bool decode()
    {
        if (auto decoded = decode_turn(chunks))
        {
            record = std::make_shared<const turn_record>(*std::move(decoded));
        }
        return record != nullptr;
    }
};

void turn_reader::read(const request_id& id, turn_callback on_turn)
{
    if (auto turn = m_cache.get(id))
    {
        on_turn(turn_outcome::found, std::move(turn));
        return;
    }
    if (const auto it = m_readings.find(id); it != m_readings.end())
    {
        auto& callbacks = it->second->begun ? it->second->joined : it->second->asked;
        callbacks.push_back(std::move(on_turn));
        return;
    }
    std::vector<turn_callback> asked;
    asked.push_back(std::move(on_turn));
    enqueue(id, std::move(asked));
    begin_waiting();
}

void turn_reader::enqueue(const request_id& id, std::vector<turn_callback> asked)
{
    const auto turn = std::make_shared<reading>(
        reading{.id = id, .asked = std::move(asked), .memory = {m_memory, memory_use::turns}});
    m_readings[id] = turn;
    m_waiting.push_back(turn);
}

void turn_reader::begin_waiting()
{
    if (std::exchange(m_beginning, true))
    {
        return;
    }
    while (m_in_progress < max_in_progress && !m_waiting.empty())
    {
        const auto turn = std::move(m_waiting.front());
        m_waiting.pop_front();
        ++m_in_progress;
        turn->begun = true;
        read_chunk(turn);
    }
    m_beginning = false;
}

void turn_reader::read_chunk(const reading_ptr& turn)
{
    auto query = query_of_row(chunk_row(turn->id, turn->chunks.size()), turn->id.value);
    // Turns are immutable, so cached rows are always current. Those of several rows are not cached.
    query.allow_cached = turn->chunks.empty();
    m_store.query(query, [this, turn](const query_reply& reply) { on_chunk(turn, reply); });
}

void turn_reader::on_chunk(const reading_ptr& turn, const query_reply& reply)
{
    if (!reply.answered)
    {
        finish(turn, turn_outcome::unavailable);
        return;
    }
    auto& chunks = turn->chunks;
    if (reply.rows.empty() && chunks.empty())
    {
        finish(turn, turn_outcome::missing);
        return;
    }
    if (!reply.rows.empty())
    {
        const auto& chunk = reply.rows.front().value;
        if (!chunks.empty() && !turn->memory.reserve(copies_while_read * chunk.size()))
        {
            finish(turn, turn_outcome::no_memory);
            return;
        }
        chunks.push_back(chunk);
    }
    // All chunks but the last have the same size. Most turns have a single one.
    const bool first = chunks.size() == 1 && !reply.rows.empty();
    const bool last = reply.rows.empty() || chunks.back().size() < chunks.front().size();
    if ((first || last) && turn->decode())
    {
        m_cache.put(turn->id, turn->record);
        finish(turn, turn_outcome::found);
    }
    else if (last)
    {
        // A record that exists but cannot be decoded must not be reported as missing.
        finish(turn, turn_outcome::unavailable);
    }
    else
    {
        read_chunk(turn);
    }
}

void turn_reader::finish(const reading_ptr& turn, turn_outcome outcome)
{
    --m_in_progress;
    m_readings.erase(turn->id);
    free_storage(turn->chunks);
    turn->memory.reset();
    auto callbacks = std::move(turn->asked);
    if (outcome == turn_outcome::found)
    {
        std::ranges::move(turn->joined, std::back_inserter(callbacks));
    }
    else if (!turn->joined.empty())
    {
        enqueue(turn->id, std::move(turn->joined));
    }
    std::ranges::for_each(callbacks, [&](const turn_callback& it) { it(outcome, turn->record); });
    begin_waiting();
}

} // namespace masticcourse::gateway
