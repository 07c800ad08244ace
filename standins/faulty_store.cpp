#include "faulty_store.hpp"

#include <utility>

namespace masticcourse::standins
{

namespace
{

using difference = std::ptrdiff_t;

} // namespace

void faulty_store::send(store_op op, reply_handler handler)
{
    m_pending.push_back({std::move(op), std::move(handler)});
}

faulty_store::pending_op faulty_store::take(std::size_t index)
{
    const auto position = m_pending.begin() + static_cast<difference>(index % m_pending.size());
    pending_op result = std::move(*position);
    m_pending.erase(position);
    return result;
}

std::size_t faulty_store::pending_count() const
{
    return m_pending.size();
}

void faulty_store::deliver(std::size_t index, op_outcome outcome, core_time now)
{
    if (m_pending.empty())
    {
        return;
    }
    const pending_op pending = take(index);
    ++m_outcome_counts.at(static_cast<std::size_t>(outcome));
    store_reply reply{.status = store_status::outcome_unknown};
    switch (outcome)
    {
    case op_outcome::completed:
        reply = execute(pending.op, now);
        break;
    case op_outcome::refused:
        reply.status = store_status::unavailable;
        break;
    case op_outcome::response_lost:
        static_cast<void>(execute(pending.op, now));
        break;
    case op_outcome::request_delayed:
        m_delayed_requests.push_back(pending.op);
        break;
    case op_outcome::response_delayed:
        m_delayed_responses.push_back({.reply = execute(pending.op, now), .handler = pending.handler});
        return;
    case op_outcome::request_lost:
        break;
    }
    pending.handler(reply);
}

void faulty_store::apply_delayed_request(std::size_t index, core_time now)
{
    if (!m_delayed_requests.empty())
    {
        const auto position =
            m_delayed_requests.begin() + static_cast<difference>(index % m_delayed_requests.size());
        static_cast<void>(execute(*position, now));
        m_delayed_requests.erase(position);
    }
}

bool faulty_store::deliver_delayed_response(std::size_t index)
{
    if (m_delayed_responses.empty())
    {
        return false;
    }
    const auto position =
        m_delayed_responses.begin() + static_cast<difference>(index % m_delayed_responses.size());
    const delayed_response pending = std::move(*position);
    m_delayed_responses.erase(position);
    pending.handler(pending.reply);
    return true;
}

const std::array<std::uint64_t, op_outcome_count>& faulty_store::outcome_counts() const
{
    return m_outcome_counts;
}

platform_store& faulty_store::store()
{
    return m_store;
}

store_reply faulty_store::execute(const store_op& op, core_time now)
{
    auto reply = m_store.apply(op, now);
    if (observer)
    {
        observer(op, reply);
    }
    return reply;
}

} // namespace masticcourse::standins
