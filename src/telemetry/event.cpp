#include "masticcourse/telemetry/event.hpp"

#include <algorithm>
#include <cstddef>

namespace masticcourse
{

namespace
{

constexpr bool ids_ascending = std::ranges::adjacent_find(event_catalogue, std::ranges::greater_equal{},
                                                          &event_definition::id) == event_catalogue.end();
static_assert(ids_ascending, "event numbers must be unique and in ascending order");

struct event_range
{
    std::uint16_t thousands_digit = 0;
    std::string_view title;
};

constexpr std::array ranges{
    event_range{1, "Process and settings"},
    event_range{2, "Callers and programs"},
    event_range{3, "Journal, shards and store"},
    event_range{4, "Peers and membership"},
    event_range{5, "Targets and engines"},
    event_range{6, "Configuration"},
    event_range{7, "Decisions"},
};

constexpr std::uint16_t range_size = 1000;

constexpr std::string_view introduction = R"(# Events

Generated from the catalogue in `telemetry/event.hpp` by `masticcourse events --markdown`; a test compares the two.

Each line of a process's log is `E<number> <name> key=value ...`. A number never changes its meaning. The same
numbers stand in the time line.
)";

std::string range_table(const event_range& range)
{
    std::string text = "\n## " + std::to_string(range.thousands_digit) + "xxx: " + std::string{range.title};
    text += "\n\n| number | name | severity | meaning | what to do |\n| --- | --- | --- | --- | --- |\n";
    for (const auto& it : event_catalogue)
    {
        const auto number = static_cast<std::uint16_t>(it.id);
        if (number / range_size != range.thousands_digit)
        {
            continue;
        }
        text.append("| ").append(std::to_string(number)).append(" | `").append(it.name).append("` | ");
        text.append(to_string(it.severity)).append(" | ").append(it.meaning).append(" | ");
        text.append(it.action).append(" |\n");
    }
    return text;
}

} // namespace

const event_definition* find_event(event_id id)
{
    const auto* const it = std::ranges::lower_bound(event_catalogue, id, {}, &event_definition::id);
    return it != event_catalogue.end() && it->id == id ? it : nullptr;
}

std::string_view to_string(event_severity severity)
{
    constexpr std::array<std::string_view, 3> names{"info", "warning", "error"};
    return names.at(static_cast<std::size_t>(severity));
}

std::string event_reference()
{
    std::string text{introduction};
    for (const auto& it : ranges)
    {
        text += range_table(it);
    }
    return text;
}

} // namespace masticcourse
