/// @file
/// Accounts for the bodies of the responses that a client is receiving.
#pragma once

#include "masticcourse/net/http_client.hpp"

#include <atomic>
#include <cstddef>

namespace masticcourse::detail
{

/// Thread-safe.
class response_memory
{
  public:
    explicit response_memory(http_response_limits limits) : m_limits(limits) {}

    /// Reserves memory for a further part of a body.
    /// @param reserved what the body has reserved so far; updated
    /// @return false if a limit would be exceeded; nothing is reserved then
    [[nodiscard]] bool reserve(std::size_t size, std::size_t& reserved)
    {
        if (size > m_limits.max_body - reserved)
        {
            return false;
        }
        if (m_total.fetch_add(size) > m_limits.max_total - size)
        {
            m_total -= size;
            return false;
        }
        reserved += size;
        return true;
    }

    void release(std::size_t reserved)
    {
        m_total -= reserved;
    }

  private:
    http_response_limits m_limits;
    std::atomic<std::size_t> m_total = 0;
};

} // namespace masticcourse::detail
