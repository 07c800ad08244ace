#include "masticcourse/gateway/turn_store.hpp"

#include "masticcourse/gateway/partition.hpp"
#include "masticcourse/memory/free_storage.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// Turns of one chain that are asked for at a time; most programs have fewer.
constexpr std::size_t max_asked_for = 16;
/// How often a prompt is held at a time: in parts and as a whole, then as a whole and in the copy that is
/// sent.
constexpr std::size_t prompt_copies = 2;
/// The same for the ids of the turns: by the request, in its record, in the document and in its rows.
constexpr std::size_t id_copies = 4;

/// What one change of a large turn holds at most: encoded as base64 in JSON it stays below the 1 MB, and the
/// 100 entries, of a transaction.
constexpr std::size_t max_change_bytes = 600'000;
constexpr std::size_t max_change_rows = 90;

} // namespace

/// State of a load_chain() call in progress.
struct turn_store::chain_load
{
    chain_callback on_chain;
    memory_lease memory;
    std::vector<request_id> ids;
    /// What each turn adds to the prompt. The records are not kept, since each names all of its ancestors.
    std::vector<std::string> parts;
    failure_domain_name domain;
    /// Index of the next turn to ask for.
    std::size_t next = 0;
    std::size_t outstanding = 0;
    /// Whether load_turns() is running, which goes on when a turn comes at once.
    bool asking = false;
    /// Of the turns that have come, in bytes.
    std::size_t prompt_size = 0;
    turn_outcome outcome = turn_outcome::found;

    /// Reserves the room for a prompt of that size.
    void reserve(std::size_t size)
    {
        const auto needed = prompt_copies * size + id_copies * memory_size(ids);
        if (!memory.reserve(needed - std::min(needed, memory.size())))
        {
            outcome = turn_outcome::no_memory;
        }
    }

    void begin(const request_id& last, const turn_record& turn)
    {
        if (turn.ancestors.size() >= max_history_turns)
        {
            outcome = turn_outcome::too_long;
            return;
        }
        ids = turn.ancestors;
        ids.push_back(last);
        parts.resize(ids.size());
        domain = turn.domain;
        reserve(turn.history_size.value_or(0) + gateway::prompt_size(turn));
        add(ids.size() - 1, turn);
    }

    void add(std::size_t index, const turn_record& turn)
    {
        prompt_size += gateway::prompt_size(turn);
        reserve(prompt_size);
        if (outcome == turn_outcome::found)
        {
            parts[index] = turn.input + turn.output;
        }
    }

    [[nodiscard]] bool wants_more() const
    {
        // The last one came first.
        return outcome == turn_outcome::found && next + 1 < ids.size();
    }
};

turn_store::turn_store(row_store& store, commit_sink& commits, std::size_t cache_bytes, std::size_t row_bytes,
                       memory_account_ptr memory)
    : m_memory(std::move(memory)), m_reader(store, cache_bytes, m_memory), m_commits(commits),
      m_row_bytes(row_bytes)
{
}

void turn_store::load_chain(const request_id& last, chain_callback on_chain)
{
    auto load = std::make_shared<chain_load>();
    load->on_chain = std::move(on_chain);
    load->memory = {m_memory, memory_use::turns};
    m_reader.read(last,
                  [this, load, last](turn_outcome outcome, const turn_ptr& turn)
                  {
                      load->outcome = outcome;
                      if (outcome == turn_outcome::found)
                      {
                          load->begin(last, *turn);
                      }
                      load_turns(load);
                  });
}

void turn_store::load_turns(const chain_load_ptr& load)
{
    load->asking = true;
    while (load->wants_more() && load->outstanding < max_asked_for)
    {
        const auto index = load->next++;
        ++load->outstanding;
        m_reader.read(load->ids[index],
                      [this, load, index](turn_outcome outcome, const turn_ptr& turn)
                      {
                          --load->outstanding;
                          if (outcome != turn_outcome::found)
                          {
                              load->outcome = outcome;
                          }
                          else if (load->outcome == turn_outcome::found)
                          {
                              load->add(index, *turn);
                          }
                          if (!load->asking)
                          {
                              load_turns(load);
                          }
                      });
    }
    load->asking = false;
    if (load->outstanding == 0)
    {
        finish(*load);
    }
}

void turn_store::finish(chain_load& load)
{
    turn_chain chain{.outcome = load.outcome};
    if (chain.outcome == turn_outcome::found)
    {
        chain.prompt.reserve(load.prompt_size);
        std::ranges::for_each(load.parts, [&chain](const std::string& it) { chain.prompt += it; });
        chain.domain = std::move(load.domain);
        chain.turns = std::move(load.ids);
        chain.memory = std::move(load.memory);
    }
    free_storage(load.parts);
    std::exchange(load.on_chain, nullptr)(std::move(chain));
}

void turn_store::find_end(const request_id& turn, turn_end_callback on_end)
{
    m_reader.read(turn,
                  [on_end = std::move(on_end)](turn_outcome outcome, const turn_ptr& record)
                  {
                      if (outcome != turn_outcome::found && outcome != turn_outcome::missing)
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

/// State of a save() call in progress.
struct turn_store::saving
{
    request_id id;
    turn_ptr record;
    save_callback on_saved;
    /// The row that is written last; empty once it is being written.
    std::optional<row_change> first;
    std::size_t outstanding = 0;
    bool failed = false;
};

void turn_store::save(const request_id& id, turn_record turn, time_point expires, save_callback on_saved)
{
    auto chunks = encode_turn(turn, m_row_bytes);
    const auto state =
        std::make_shared<saving>(saving{.id = id,
                                        .record = std::make_shared<const turn_record>(std::move(turn)),
                                        .on_saved = std::move(on_saved)});
    std::vector<row_change> changes(1);
    std::size_t bytes = 0;
    for (std::size_t i = chunks.size(); i-- > 0;)
    {
        bytes += chunks[i].size();
        if (bytes > max_change_bytes || changes.back().puts.size() >= max_change_rows)
        {
            changes.emplace_back();
            bytes = chunks[i].size();
        }
        changes.back().puts.push_back({chunk_row(id, i), std::move(chunks[i])});
    }
    std::ranges::for_each(changes, [expires](row_change& it) { it.expires = expires; });
    state->first = std::move(changes.back());
    changes.pop_back();
    state->outstanding = changes.size();
    std::ranges::for_each(changes, [&](row_change& it) { write(state, std::move(it)); });
    if (changes.empty())
    {
        write_first(state);
    }
}

void turn_store::write(const saving_ptr& turn, row_change change)
{
    m_commits.submit(partition_of(turn->id.value), std::move(change),
                     [this, turn](const change_result& result) { on_written(turn, result); });
}

void turn_store::write_first(const saving_ptr& turn)
{
    ++turn->outstanding;
    write(turn, *std::exchange(turn->first, std::nullopt));
}

void turn_store::on_written(const saving_ptr& turn, const change_result& result)
{
    turn->failed = turn->failed || result.outcome != store_outcome::done;
    if (--turn->outstanding > 0)
    {
        return;
    }
    if (turn->first && !turn->failed)
    {
        write_first(turn);
        return;
    }
    if (!turn->failed)
    {
        m_reader.cache().put(turn->id, turn->record);
    }
    std::exchange(turn->on_saved, nullptr)(!turn->failed);
}

} // namespace masticcourse::gateway
