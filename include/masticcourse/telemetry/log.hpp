/// @file
/// The log of a process: numbered events with fields, written by glog.
#pragma once

#include "masticcourse/telemetry/event.hpp"

#include <string>
#include <vector>

namespace masticcourse
{

/// Sets glog up for this process: to standard error, with @a process as program name.
void start_log(const std::string& process);

/// Sets the log up for this process: to standard output, through a buffer that flush_log() empties. Lines are
/// left out, and counted, while the buffer is full or one kind of event comes too often; nothing waits for
/// the reader.
void start_buffered_log(const std::string& process);

/// Writes what the reader of standard output takes without waiting.
void flush_log();

/// Writes `E1203 name key=value ...` with the severity of the event's catalogue row. Thread-safe.
void log_event(event_id id, const std::vector<event_field>& fields = {});

/// @return the line that log_event() writes; values with spaces, quotes or control characters are quoted
[[nodiscard]] std::string format_event(event_id id, const std::vector<event_field>& fields);

} // namespace masticcourse
