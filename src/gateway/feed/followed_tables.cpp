#include "masticcourse/gateway/feed/followed_tables.hpp"

#include <algorithm>

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

void followed_tables::refresh(const std::function<void()>& on_done)
{
    m_config.refresh([this, on_done] { m_targets.refresh(on_done); });
}

} // namespace masticcourse::gateway
