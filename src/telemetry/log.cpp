#include "masticcourse/telemetry/log.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <fcntl.h>
#include <map>
#include <memory>
#include <mutex>
#include <unistd.h>
#include <utility>

namespace masticcourse
{

namespace
{

constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7f;

bool is_control(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte < first_printable || byte == delete_character;
}

bool needs_quotes(const std::string& value)
{
    const auto requires_quoting = [](char c)
    { return c == ' ' || c == '"' || c == '\\' || c == '=' || is_control(c); };
    return value.empty() || std::ranges::any_of(value, requires_quoting);
}

std::string escape(char c)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned nibble_bits = 4;
    constexpr unsigned nibble_mask = 0xf;
    if (c == '"' || c == '\\')
    {
        return {'\\', c};
    }
    if (!is_control(c))
    {
        return {c};
    }
    const auto byte = static_cast<unsigned char>(c);
    return {'\\', 'x', digits[byte >> nibble_bits], digits[byte & nibble_mask]};
}

/// The longest part of a value that is logged, in bytes. Callers choose names and ids of their requests.
constexpr std::size_t max_value_size = 1'024;

std::string quote(const std::string& value)
{
    if (value.size() > max_value_size)
    {
        return quote(value.substr(0, max_value_size)) + "...";
    }
    if (!needs_quotes(value))
    {
        return value;
    }
    std::string text = "\"";
    for (const char c : value)
    {
        text += escape(c);
    }
    return text + "\"";
}

int glog_severity(event_severity severity)
{
    constexpr std::array severities{google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR};
    return severities.at(static_cast<std::size_t>(severity));
}

/// Maximum number of buffered bytes; holds several seconds of output of the busiest gateway.
constexpr std::size_t max_buffered_bytes = std::size_t{1} << 20U;
/// Rate limit per event number; several times the rate at which a gateway answers requests on a busy day.
constexpr std::uint32_t max_lines_per_second = 500;

/// Log sink that buffers messages until flush() writes them.
class buffered_log_sink final : public google::LogSink
{
  public:
    void send(google::LogSeverity severity, const char* /*path*/, const char* /*file*/, int /*line*/,
              const google::LogMessageTime& time, const char* message, std::size_t size) override
    {
        const std::scoped_lock lock(m_mutex);
        if (m_text.size() + size > max_buffered_bytes)
        {
            ++m_dropped;
            return;
        }
        m_text += google::GetLogSeverityName(severity)[0];
        append_time(time);
        m_text.append(message, size).append("\n");
    }

    /// Applies the rate limit; counts the line as dropped if it exceeds the limit.
    /// @return whether a line for this event may be written
    bool allow_line(event_id id)
    {
        const std::scoped_lock lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        if (now - m_window_start >= std::chrono::seconds{1})
        {
            m_window_start = now;
            m_window_lines.clear();
        }
        const bool allowed = ++m_window_lines[id] <= max_lines_per_second;
        m_dropped += allowed ? 0 : 1;
        return allowed;
    }

    void flush()
    {
        const std::scoped_lock lock(m_mutex);
        if (m_text.empty())
        {
            return;
        }
        // Unwritten bytes stay in the buffer on any error: a full pipe drains later, and if the pipe is
        // closed, the buffer size stays bounded.
        const auto n = ::write(STDOUT_FILENO, m_text.data(), m_text.size());
        m_text.erase(0, n > 0 ? static_cast<std::size_t>(n) : 0);
    }

    /// @return the number of lines dropped since the last call
    std::uint64_t take_dropped()
    {
        const std::scoped_lock lock(m_mutex);
        return std::exchange(m_dropped, 0);
    }

  private:
    /// Appends the wall time in a lexicographically sortable format. Source file and line are omitted,
    /// because the event number identifies the origin.
    void append_time(const google::LogMessageTime& time)
    {
        constexpr int tm_year_base = 1900;
        constexpr std::size_t max_length = 40;
        std::array<char, max_length> text{};
        const auto n = std::snprintf(text.data(), text.size(), "%04d-%02d-%02dT%02d:%02d:%02d.%06d ",
                                     time.year() + tm_year_base, time.month() + 1, time.day(), time.hour(),
                                     time.min(), time.sec(), time.usec());
        m_text.append(text.data(), static_cast<std::size_t>(n));
    }

    std::mutex m_mutex;
    std::string m_text;
    std::chrono::steady_clock::time_point m_window_start;
    std::map<event_id, std::uint32_t> m_window_lines;
    std::uint64_t m_dropped = 0;
};

/// Sink of the buffered log, or null if glog writes to its own destination.
std::unique_ptr<buffered_log_sink>& active_sink()
{
    static std::unique_ptr<buffered_log_sink> instance;
    return instance;
}

} // namespace

void start_buffered_log(const std::string& process)
{
    start_log(process);
    const auto flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    active_sink() = std::make_unique<buffered_log_sink>();
}

void flush_log()
{
    if (!active_sink())
    {
        return;
    }
    if (const auto n = active_sink()->take_dropped(); n > 0)
    {
        log_event(event_id::log_lines_dropped, {{"lines", std::to_string(n)}});
    }
    active_sink()->flush();
}

void start_log(const std::string& process)
{
    // glog keeps the pointer, so the string must outlive this call.
    static std::string name;
    name = process;
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(name.c_str());
}

void log_event(event_id id, const std::vector<event_field>& fields)
{
    const event_definition* const row = find_event(id);
    const auto severity = row != nullptr ? row->severity : event_severity::error;
    if (!active_sink())
    {
        google::LogMessage{__FILE__, __LINE__, glog_severity(severity)}.stream() << format_event(id, fields);
    }
    else if (active_sink()->allow_line(id))
    {
        google::LogMessage{__FILE__, __LINE__, glog_severity(severity), active_sink().get(), false}.stream()
            << format_event(id, fields);
    }
}

std::string format_event(event_id id, const std::vector<event_field>& fields)
{
    const event_definition* const row = find_event(id);
    std::string text = "E" + std::to_string(static_cast<std::uint16_t>(id)) + " ";
    text += row != nullptr ? row->name : "unlisted_event";
    for (const auto& it : fields)
    {
        text.append(" ").append(it.key).append("=").append(quote(it.value));
    }
    return text;
}

} // namespace masticcourse
