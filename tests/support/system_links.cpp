// The system world: connections between processes, the store, and callers.
#include "system_node.hpp"

#include <algorithm>

namespace masticcourse::tests
{

system_world::node* system_world::find(const std::string& address)
{
    const auto it = std::ranges::find(m_nodes, address, [](const auto& each) { return each->address; });
    return it != m_nodes.end() ? it->get() : nullptr;
}

void system_world::take(node& to, entry_input input)
{
    if (to.is_entry)
    {
        to.entry_inbox.push_back(std::move(input));
    }
    else
    {
        const auto hand_over = [&](auto& it)
        {
            using type = std::decay_t<decltype(it)>;
            if constexpr (std::is_constructible_v<target_input, type>)
            {
                to.target_inbox.push_back(std::move(it));
            }
        };
        std::visit(hand_over, input);
    }
    to.wakeup = std::min(to.wakeup, m_now);
}

void system_world::deliver(node& to, std::uint64_t life, entry_input input, core_duration delay)
{
    after(delay,
          [this, &to, life, input = std::move(input)]() mutable
          {
              if (to.life == life && to.alive())
              {
                  take(to, std::move(input));
              }
          });
}

system_world::wire* system_world::find_wire(const node& at, link_id link, std::size_t& end)
{
    for (const auto& it : m_wires)
    {
        for (std::size_t side = 0; side < 2; ++side)
        {
            if (it->ends[side] == &at && it->ids[side] == link && it->lives[side] == at.life)
            {
                end = side;
                return it.get();
            }
        }
    }
    return nullptr;
}

void system_world::do_open(node& at, const open_peer& order)
{
    auto* const other = find(order.address);
    if (other == nullptr || is_cut(at.name, other->name))
    {
        // No answer at all: the core finds out by itself.
        return;
    }
    if (!other->alive())
    {
        deliver(at, at.life, peer_closed{order.link}, network_delay());
        return;
    }
    auto made = std::make_unique<wire>();
    made->ends[0] = &at;
    made->ends[1] = other;
    made->ids[0] = order.link;
    made->ids[1] = other->next_inbound++;
    made->lives[0] = at.life;
    made->lives[1] = other->life;
    made->open = true;
    const auto delay = network_delay();
    for (std::size_t side = 0; side < 2; ++side)
    {
        made->last_delivery[side] = m_now + delay;
        deliver(*made->ends[side], made->lives[side], peer_opened{made->ids[side]}, delay);
    }
    m_wires.push_back(std::move(made));
}

void system_world::do_send(node& at, const send_peer& order)
{
    std::size_t end = 0;
    auto* const line = find_wire(at, order.link, end);
    if (line == nullptr || !line->open || line->silent)
    {
        return;
    }
    auto& to = *line->ends[1 - end];
    if (is_cut(at.name, to.name))
    {
        // What was lost once leaves the connection silent for good.
        line->silent = true;
        return;
    }
    const auto encoded = encode(order.message);
    ++m_traffic.messages[order.message.index()];
    m_traffic.bytes[order.message.index()] += encoded.size();
    m_traffic.of_process[at.name] += encoded.size();
    m_traffic.of_process[to.name] += encoded.size();
    auto decoded = decode_message(encoded);
    const auto at_time = std::max(line->last_delivery[1 - end], m_now + network_delay());
    line->last_delivery[1 - end] = at_time;
    deliver(to, line->lives[1 - end], peer_received{line->ids[1 - end], std::move(*decoded)},
            at_time - m_now);
}

void system_world::do_close(node& at, const close_peer& order)
{
    std::size_t end = 0;
    auto* const line = find_wire(at, order.link, end);
    if (line == nullptr || !line->open)
    {
        return;
    }
    line->open = false;
    if (!line->silent)
    {
        const auto at_time = std::max(line->last_delivery[1 - end], m_now + network_delay());
        deliver(*line->ends[1 - end], line->lives[1 - end], peer_closed{line->ids[1 - end]}, at_time - m_now);
    }
}

void system_world::break_wires(node& of, bool silent)
{
    for (const auto& it : m_wires)
    {
        const bool first = it->ends[0] == &of && it->lives[0] == of.life;
        const bool second = it->ends[1] == &of && it->lives[1] == of.life;
        if (!it->open || (!first && !second))
        {
            continue;
        }
        const std::size_t other = first ? 1 : 0;
        if (silent)
        {
            it->silent = true;
            continue;
        }
        it->open = false;
        const auto at_time = std::max(it->last_delivery[other], m_now + network_delay());
        deliver(*it->ends[other], it->lives[other], peer_closed{it->ids[other]}, at_time - m_now);
    }
    std::erase_if(m_wires, [](const auto& it) { return !it->open; });
}

// Store

void system_world::do_store(node& at, const run_store_op& order)
{
    const auto life = at.life;
    if (m_cut_from_store.contains(at.name))
    {
        deliver(at, life, store_done{order.id, {.status = store_status::unavailable}}, network_delay());
        return;
    }
    const auto there = m_options.store_delay / 2 + network_delay();
    after(there,
          [this, &at, life, order]
          {
              ++m_traffic.store_ops[order.operation.index()];
              if (const auto* const created = std::get_if<object_create>(&order.operation))
              {
                  m_traffic.store_bytes += created->bytes.size();
              }
              const auto reply = m_store.apply(order.operation, m_now);
              m_traffic.store_read_bytes += reply.value.size();
              std::ranges::for_each(reply.rows, [&](const table_row& it)
                                    { m_traffic.store_read_bytes += it.value.size(); });
              deliver(at, life, store_done{order.id, reply}, m_options.store_delay / 2 + network_delay());
          });
}

std::uint64_t system_world::request(std::size_t entry, forward_request raw, answer_handler on_answer)
{
    const auto number = m_next_caller++;
    auto& at = *m_nodes[entry];
    after(network_delay(),
          [this, number, entry, &at, raw = std::move(raw), on_answer = std::move(on_answer)]() mutable
          {
              if (!at.alive())
              {
                  on_answer({});
                  return;
              }
              m_callers[number] = {
                  .entry = entry, .life = at.life, .id = number, .on_answer = std::move(on_answer)};
              take(at, caller_request{number, std::move(raw)});
          });
    return number;
}

void system_world::hang_up(std::uint64_t request)
{
    const auto it = m_callers.find(request);
    if (it == m_callers.end())
    {
        return;
    }
    auto& at = *m_nodes[it->second.entry];
    deliver(at, it->second.life, caller_gone{it->second.id}, network_delay());
    m_callers.erase(it);
}

void system_world::end_callers(std::size_t entry)
{
    std::vector<caller> broken;
    for (const auto& [number, it] : m_callers)
    {
        if (it.entry == entry)
        {
            broken.push_back(it);
        }
    }
    std::erase_if(m_callers, [&](const auto& it) { return it.second.entry == entry; });
    for (const auto& it : broken)
    {
        after(network_delay(),
              [it]
              {
                  auto answer = it.answer;
                  answer.status = 0;
                  it.on_answer(answer);
              });
    }
}

} // namespace masticcourse::tests
