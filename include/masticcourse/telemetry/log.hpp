/// @file
/// Process log: numbered events with key-value fields, written through glog.
#pragma once

#include "masticcourse/telemetry/event.hpp"

#include <string>
#include <vector>

namespace masticcourse
{

/// Initializes glog to write to standard error, with @a process as the program name.
void start_log(const std::string& process);

/// Initializes the log to write to non-blocking standard output through a buffer that flush_log() drains.
/// Lines are dropped and counted while the buffer is full or an event exceeds its rate limit, so logging
/// never blocks on a slow reader.
void start_buffered_log(const std::string& process);

/// Writes buffered lines to standard output, as far as possible without blocking.
void flush_log();

/// Logs `E1203 name key=value ...` with the severity from the event catalogue. Thread-safe.
void log_event(event_id id, const std::vector<event_field>& fields = {});

/// @return the message that log_event() writes; empty values and values with spaces, quotes, backslashes,
/// equals signs or control characters are quoted
[[nodiscard]] std::string format_event(event_id id, const std::vector<event_field>& fields);

} // namespace masticcourse
