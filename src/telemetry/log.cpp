#include "masticcourse/telemetry/log.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <cstddef>

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
    const auto breaks = [](char c) { return c == ' ' || c == '"' || c == '\\' || c == '=' || is_control(c); };
    return value.empty() || std::ranges::any_of(value, breaks);
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

std::string quote(const std::string& value)
{
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

} // namespace

void start_log(const std::string& process)
{
    // glog keeps the pointer.
    static std::string name;
    name = process;
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(name.c_str());
}

void log_event(event_id id, const std::vector<event_field>& fields)
{
    const event_row* const row = find_event(id);
    const auto severity = row != nullptr ? row->severity : event_severity::error;
    google::LogMessage{__FILE__, __LINE__, glog_severity(severity)}.stream() << format_event(id, fields);
}

std::string format_event(event_id id, const std::vector<event_field>& fields)
{
    const event_row* const row = find_event(id);
    std::string text = "E" + std::to_string(static_cast<std::uint16_t>(id)) + " ";
    text += row != nullptr ? row->name : "unlisted_event";
    for (const auto& it : fields)
    {
        text.append(" ").append(it.key).append("=").append(quote(it.value));
    }
    return text;
}

} // namespace masticcourse
