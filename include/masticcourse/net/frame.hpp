/// @file
/// Length-prefixed framing for inter-process connections: a four-byte big-endian payload length, then the
/// payload.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace masticcourse
{

constexpr std::size_t frame_header_size = 4;
constexpr std::size_t default_max_frame = std::size_t{64} * 1024 * 1024;

using frame_header = std::array<char, frame_header_size>;

/// @param size payload size in bytes; must fit in 32 bits
[[nodiscard]] frame_header make_frame_header(std::size_t size);

/// Incremental decoder: accepts input split at any position and emits complete payloads.
class frame_decoder
{
  public:
    using frame_callback = std::function<void(std::string)>;

    explicit frame_decoder(std::size_t max_frame = default_max_frame);

    /// @return false once a frame exceeds the size limit; all further input is ignored
    [[nodiscard]] bool feed(std::string_view bytes, const frame_callback& on_frame);

    /// @return whether the input so far ends in the middle of a frame
    [[nodiscard]] bool has_partial_frame() const;

  private:
    std::size_t consume_header(std::string_view bytes);
    std::size_t consume_payload(std::string_view bytes, const frame_callback& on_frame);

    std::size_t m_max_frame;
    frame_header m_header{};
    std::size_t m_header_bytes = 0;
    std::size_t m_payload_size = 0;
    std::string m_payload;
    bool m_oversized = false;
};

} // namespace masticcourse
