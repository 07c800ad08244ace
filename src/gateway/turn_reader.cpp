#include "masticcourse/gateway/turn_reader.hpp"

#include "masticcourse/gateway/partition.hpp"

#include <utility>

namespace masticcourse::gateway
{

/// A turn, as far as its rows have been read.
struct turn_reader::reading
{
    request_id id;
    turn_callback on_turn;
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
    read_chunk(std::make_shared<reading>(reading{.id = id, .on_turn = std::move(on_turn)}));
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
        chunks.push_back(reply.rows.front().value);
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
    std::exchange(turn->on_turn, nullptr)(outcome, turn->record);
}

} // namespace masticcourse::gateway
