#include "masticcourse/gateway/feed/followed_tables.hpp"

#include <algorithm>
#include <memory>

namespace masticcourse::gateway
{

duration followed_tables::age() const
{
    return std::max(m_config.age(), m_targets.age());
}

table_currency followed_tables::currency() const
{
    // The enumerators are in the order of what they allow.
    return std::max(m_config.currency(), m_targets.currency());
}

outage_evidence followed_tables::evidence() const
{
    return std::max(m_config.evidence(), m_targets.evidence());
}

void followed_tables::refresh(const std::function<void()>& on_done)
{
    const auto on_table = [on_done, pending = std::make_shared<int>(2)]
    {
        if (--*pending == 0)
        {
            on_done();
        }
    };
    m_config.refresh(on_table);
    m_targets.refresh(on_table);
}

} // namespace masticcourse::gateway
