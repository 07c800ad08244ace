#include "faulty_store.hpp"

#include <utility>

namespace masticcourse::standins
{

namespace
{

using difference = std::ptrdiff_t;

} // namespace

void faulty_store::send(store_op op, answer_handler handler)
{
    m_waiting.push_back({std::move(op), std::move(handler)});
}

faulty_store::waiting_op faulty_store::take(std::size_t which)
{
    const auto at = m_waiting.begin() + static_cast<difference>(which % m_waiting.size());
    waiting_op result = std::move(*at);
    m_waiting.erase(at);
    return result;
}

std::size_t faulty_store::waiting() const
{
    return m_waiting.size();
}

void faulty_store::deliver(std::size_t which, op_fate fate, core_time now)
{
    if (m_waiting.empty())
    {
        return;
    }
    const waiting_op taken = take(which);
    ++m_fates.at(static_cast<std::size_t>(fate));
    store_reply reply{.status = store_status::outcome_unknown};
    switch (fate)
    {
    case op_fate::answered:
        reply = carry_out(taken.op, now);
        break;
    case op_fate::refused:
        reply.status = store_status::unavailable;
        break;
    case op_fate::done_but_lost:
        static_cast<void>(carry_out(taken.op, now));
        break;
    case op_fate::late:
        m_late.push_back(taken.op);
        break;
    case op_fate::slow:
        m_slow.push_back({.reply = carry_out(taken.op, now), .handler = taken.handler});
        return;
    case op_fate::dropped:
        break;
    }
    taken.handler(reply);
}

void faulty_store::deliver_late(std::size_t which, core_time now)
{
    if (!m_late.empty())
    {
        const auto at = m_late.begin() + static_cast<difference>(which % m_late.size());
        static_cast<void>(carry_out(*at, now));
        m_late.erase(at);
    }
}

bool faulty_store::deliver_slow(std::size_t which)
{
    if (m_slow.empty())
    {
        return false;
    }
    const auto at = m_slow.begin() + static_cast<difference>(which % m_slow.size());
    const slow_answer taken = std::move(*at);
    m_slow.erase(at);
    taken.handler(taken.reply);
    return true;
}

const std::array<std::uint64_t, fate_count>& faulty_store::fates() const
{
    return m_fates;
}

platform_store& faulty_store::store()
{
    return m_store;
}

store_reply faulty_store::carry_out(const store_op& op, core_time now)
{
    auto reply = m_store.apply(op, now);
    if (observer)
    {
        observer(op, reply);
    }
    return reply;
}

} // namespace masticcourse::standins
