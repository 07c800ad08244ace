#include "masticcourse/gateway/turn_store.hpp"

#include "masticcourse/gateway/partition.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::gateway
{

/// State of a load_chain() call in progress.
struct turn_store::chain_load
{
    std::vector<request_id> ids;
    std::vector<turn_ptr> turns;
    std::size_t outstanding = 0;
    turn_outcome outcome = turn_outcome::found;
    chain_callback on_chain;
};

turn_store::turn_store(row_store& store, commit_sink& commits, std::size_t cache_bytes, std::size_t row_bytes)
    : m_reader(store, cache_bytes), m_commits(commits), m_row_bytes(row_bytes)
{
}

void turn_store::load_chain(const request_id& last, chain_callback on_chain)
{
    auto load = std::make_shared<chain_load>();
    load->on_chain = std::move(on_chain);
    m_reader.read(last,
                  [this, load, last](turn_outcome outcome, const turn_ptr& turn)
                  {
                      if (outcome != turn_outcome::found)
                      {
                          load->on_chain({.outcome = outcome});
                          return;
                      }
                      load->ids = turn->ancestors;
                      load->ids.push_back(last);
                      load_ancestors(load, turn);
                  });
}

void turn_store::load_ancestors(const std::shared_ptr<chain_load>& load, const turn_ptr& last)
{
    load->turns.resize(load->ids.size());
    load->turns.back() = last;
    // One more than the number of fetches, so that replies from the cache do not complete the load before all
    // turns are requested.
    load->outstanding = load->ids.size();
    for (std::size_t i = 0; i + 1 < load->ids.size(); ++i)
    {
        m_reader.read(load->ids[i],
                      [load, i](turn_outcome outcome, const turn_ptr& turn)
                      {
                          load->turns[i] = turn;
                          load->outcome = outcome == turn_outcome::found ? load->outcome : outcome;
                          finish(load);
                      });
    }
    finish(load);
}

void turn_store::finish(const std::shared_ptr<chain_load>& load)
{
    if (--load->outstanding > 0)
    {
        return;
    }
    turn_chain chain{.outcome = load->outcome};
    if (chain.outcome == turn_outcome::found)
    {
        chain.turns = std::move(load->ids);
        std::ranges::for_each(load->turns,
                              [&](const turn_ptr& it) { chain.prompt += it->input + it->output; });
        chain.domain = load->turns.back()->domain;
    }
    load->on_chain(std::move(chain));
}

void turn_store::find_end(const request_id& turn, turn_end_callback on_end)
{
    m_reader.read(turn,
                  [on_end = std::move(on_end)](turn_outcome outcome, const turn_ptr& record)
                  {
                      if (outcome == turn_outcome::unavailable)
                      {
                          on_end({.progress = turn_progress::unknown});
                          return;
                      }
                      // A record without a count doesn't tell what the turn cost, so it counts at its
                      // maximum.
                      const bool counted = record && record->tokens;
                      on_end({.progress = counted ? turn_progress::finished : turn_progress::unfinished,
                              .tokens = counted ? *record->tokens : 0});
                  });
}

void turn_store::save(const request_id& id, turn_record turn, time_point expires, save_callback on_saved)
{
    row_change change{.expires = expires};
    const auto chunks = encode_turn(turn, m_row_bytes);
    for (std::size_t i = 0; i < chunks.size(); ++i)
    {
        change.puts.push_back({chunk_row(id, i), chunks[i]});
    }
    auto record = std::make_shared<const turn_record>(std::move(turn));
    m_commits.submit(partition_of(id.value), std::move(change),
                     [this, id, record, on_saved = std::move(on_saved)](const change_result& result)
                     {
                         const bool durable = result.outcome == store_outcome::done;
                         if (durable)
                         {
                             m_reader.cache().put(id, record);
                         }
                         on_saved(durable);
                     });
}

} // namespace masticcourse::gateway
