#include "masticcourse/net/frame.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace masticcourse
{

namespace
{

constexpr unsigned bits_per_byte = 8;
/// Upper bound of the memory reserved before payload bytes arrive: the length in the header comes from the
/// peer and is not trusted.
constexpr std::size_t max_initial_reserve = std::size_t{1024} * 1024;

std::size_t parse_payload_size(const frame_header& header)
{
    std::uint32_t size = 0;
    std::ranges::for_each(header, [&size](char it)
                          { size = (size << bits_per_byte) | static_cast<unsigned char>(it); });
    return size;
}

} // namespace

frame_header make_frame_header(std::size_t size)
{
    frame_header header{};
    auto remaining = static_cast<std::uint32_t>(size);
    std::for_each(header.rbegin(), header.rend(),
                  [&remaining](char& it)
                  {
                      it = static_cast<char>(remaining & 0xFFU);
                      remaining >>= bits_per_byte;
                  });
    return header;
}

frame_decoder::frame_decoder(std::size_t max_frame) : m_max_frame(max_frame) {}

bool frame_decoder::feed(std::string_view bytes, const frame_callback& on_frame)
{
    while (!bytes.empty() && !m_oversized)
    {
        const bool in_header = m_header_bytes < frame_header_size;
        bytes.remove_prefix(in_header ? consume_header(bytes) : 0);
        if (m_header_bytes == frame_header_size && !m_oversized)
        {
            bytes.remove_prefix(consume_payload(bytes, on_frame));
        }
    }
    return !m_oversized;
}

bool frame_decoder::has_partial_frame() const
{
    return m_header_bytes > 0;
}

std::size_t frame_decoder::consume_header(std::string_view bytes)
{
    const auto n = std::min(frame_header_size - m_header_bytes, bytes.size());
    std::ranges::copy(bytes.substr(0, n), m_header.begin() + static_cast<std::ptrdiff_t>(m_header_bytes));
    m_header_bytes += n;
    if (m_header_bytes == frame_header_size)
    {
        m_payload_size = parse_payload_size(m_header);
        m_oversized = m_payload_size > m_max_frame;
        m_payload.reserve(m_oversized ? 0 : std::min(m_payload_size, max_initial_reserve));
    }
    return n;
}

std::size_t frame_decoder::consume_payload(std::string_view bytes, const frame_callback& on_frame)
{
    const auto n = std::min(m_payload_size - m_payload.size(), bytes.size());
    m_payload += bytes.substr(0, n);
    if (m_payload.size() == m_payload_size)
    {
        m_header_bytes = 0;
        on_frame(std::exchange(m_payload, {}));
    }
    return n;
}

} // namespace masticcourse
