#include "masticcourse/memory/memory_account.hpp"

#include <algorithm>

namespace masticcourse
{

namespace
{

constexpr std::size_t percent = 100;

/// @return the part of the capacity, in percent, that all uses together may fill when memory is reserved for
/// @a use
constexpr std::size_t share_of(memory_use use)
{
    switch (use)
    {
    case memory_use::connections:
    case memory_use::responses:
    case memory_use::caches:
        break;
    case memory_use::requests:
        return 90;
    case memory_use::uploads:
        return 75;
    case memory_use::incoming:
        return 60;
    case memory_use::whole_bodies:
    case memory_use::turns:
        return 50;
    case memory_use::repeats:
    case memory_use::read_ahead:
        return 40;
    }
    return percent;
}

std::size_t index_of(memory_use use)
{
    return static_cast<std::size_t>(use);
}

} // namespace

std::string_view to_string(memory_use use)
{
    switch (use)
    {
    case memory_use::connections:
        return "connections";
    case memory_use::incoming:
        return "incoming";
    case memory_use::requests:
        return "requests";
    case memory_use::uploads:
        return "uploads";
    case memory_use::whole_bodies:
        return "whole_bodies";
    case memory_use::repeats:
        return "repeats";
    case memory_use::responses:
        return "responses";
    case memory_use::read_ahead:
        return "read_ahead";
    case memory_use::turns:
        return "turns";
    case memory_use::caches:
        break;
    }
    return "caches";
}

std::size_t memory_account::held(memory_use use) const
{
    return m_by_use.at(index_of(use)).load(std::memory_order_relaxed);
}

std::size_t memory_account::limit_of(memory_use use) const
{
    return capacity() / percent * share_of(use);
}

bool memory_account::has_room(memory_use use, std::size_t size) const
{
    const auto limit = limit_of(use);
    return size <= limit && held() <= limit - size;
}

bool memory_account::reserve(memory_use use, std::size_t size)
{
    const auto limit = limit_of(use);
    const auto before = m_total.fetch_add(size, std::memory_order_relaxed);
    if (size > limit || before > limit - size)
    {
        m_total.fetch_sub(size, std::memory_order_relaxed);
        return false;
    }
    m_by_use.at(index_of(use)).fetch_add(size, std::memory_order_relaxed);
    return true;
}

void memory_account::charge(memory_use use, std::size_t size)
{
    m_total.fetch_add(size, std::memory_order_relaxed);
    m_by_use.at(index_of(use)).fetch_add(size, std::memory_order_relaxed);
}

void memory_account::release(memory_use use, std::size_t size)
{
    m_total.fetch_sub(size, std::memory_order_relaxed);
    m_by_use.at(index_of(use)).fetch_sub(size, std::memory_order_relaxed);
}

memory_lease::memory_lease(memory_lease&& other) noexcept
    : m_account(std::move(other.m_account)), m_use(other.m_use), m_size(std::exchange(other.m_size, 0))
{
}

memory_lease& memory_lease::operator=(memory_lease&& other) noexcept
{
    if (this != &other)
    {
        reset();
        m_account = std::move(other.m_account);
        m_use = other.m_use;
        m_size = std::exchange(other.m_size, 0);
    }
    return *this;
}

bool memory_lease::reserve(std::size_t size)
{
    if (m_account && size > 0 && !m_account->reserve(m_use, size))
    {
        return false;
    }
    m_size += size;
    return true;
}

void memory_lease::charge(std::size_t size)
{
    if (m_account)
    {
        m_account->charge(m_use, size);
    }
    m_size += size;
}

void memory_lease::release(std::size_t size)
{
    const auto released = std::min(size, m_size);
    if (m_account)
    {
        m_account->release(m_use, released);
    }
    m_size -= released;
}

void memory_lease::set(std::size_t size)
{
    if (size > m_size)
    {
        charge(size - m_size);
    }
    else
    {
        release(m_size - size);
    }
}

} // namespace masticcourse
