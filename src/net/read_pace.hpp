/// @file
/// The least rate at which a body must arrive.
#pragma once

#include <chrono>
#include <cstddef>

namespace masticcourse::detail
{

/// Measures only the time that is spent waiting for the sender, so that a receiver that is slow itself holds
/// nothing against it.
class read_pace
{
  public:
    read_pace() = default;
    /// @param window within each such span of waiting, at least @a min_bytes must arrive
    read_pace(std::chrono::milliseconds window, std::size_t min_bytes)
        : m_window(window), m_min_bytes(min_bytes)
    {
    }

    /// @return how long to wait for the sender at most; not above zero if it is too slow
    [[nodiscard]] std::chrono::milliseconds left() const
    {
        return std::chrono::ceil<std::chrono::milliseconds>(m_window - m_waited);
    }

    /// Records that @a size bytes arrived after a wait.
    void add(std::chrono::steady_clock::duration waited, std::size_t size)
    {
        m_waited += waited;
        m_bytes += size;
        if (m_bytes >= m_min_bytes)
        {
            m_bytes = 0;
            m_waited = {};
        }
    }

  private:
    std::chrono::milliseconds m_window{};
    std::size_t m_min_bytes = 0;
    std::chrono::steady_clock::duration m_waited{};
    std::size_t m_bytes = 0;
};

} // namespace masticcourse::detail
