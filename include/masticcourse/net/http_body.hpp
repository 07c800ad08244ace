/// @file
/// A body that is read part by part while it is passed on, so that only a part of it is held at a time. Its
/// sender is not read from until the next part is asked for.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace masticcourse
{

/// How the body goes on after a part.
enum class body_progress : std::uint8_t
{
    more,
    /// The part is the last one; it may be empty.
    complete,
    /// The sender has gone, or what it sent is not a body. The part is empty.
    broken,
    /// The sender sends nothing, or too little. The part is empty.
    stalled,
};

struct http_body_part
{
    std::string data;
    body_progress progress = body_progress::more;
};

using http_body_callback = std::function<void(http_body_part)>;

class http_body_source
{
  public:
    http_body_source() = default;
    http_body_source(const http_body_source&) = delete;
    http_body_source(http_body_source&&) = delete;
    http_body_source& operator=(const http_body_source&) = delete;
    http_body_source& operator=(http_body_source&&) = delete;
    virtual ~http_body_source() = default;

    /// Reads the next part. Thread-safe, but only one read may be under way; none after the last part.
    /// @param on_part called exactly once, on an I/O thread or directly
    virtual void read(http_body_callback on_part) = 0;
};

} // namespace masticcourse
