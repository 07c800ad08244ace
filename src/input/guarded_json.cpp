#include "guarded_json.hpp"

#include <set>
#include <vector>

namespace masticcourse::detail
{

namespace
{

using nlohmann::json;

/// Watches a parse for what the parser itself lets pass.
class parse_guard
{
  public:
    /// @return whether the parser may keep the value
    bool on_event(int depth, json::parse_event_t event, const json& parsed)
    {
        switch (event)
        {
        case json::parse_event_t::object_start:
            m_names.emplace_back();
            check_depth(depth);
            break;
        case json::parse_event_t::array_start:
            check_depth(depth);
            break;
        case json::parse_event_t::object_end:
            m_names.pop_back();
            break;
        case json::parse_event_t::key:
            check_name(parsed.get_ref<const std::string&>());
            break;
        case json::parse_event_t::array_end:
        case json::parse_event_t::value:
            break;
        }
        return m_error.empty();
    }

    [[nodiscard]] const std::string& error() const
    {
        return m_error;
    }

  private:
    void check_depth(int depth)
    {
        if (depth >= max_json_depth)
        {
            m_error = "nested deeper than " + std::to_string(max_json_depth);
        }
    }

    void check_name(const std::string& name)
    {
        if (!m_names.back().insert(name).second)
        {
            m_error = "a member stands twice: " + name;
        }
    }

    std::vector<std::set<std::string>> m_names;
    std::string m_error;
};

} // namespace

guarded_json parse_guarded(const std::string& text, std::size_t max_size)
{
    if (text.size() > max_size)
    {
        return {{}, "longer than " + std::to_string(max_size) + " bytes"};
    }
    parse_guard guard;
    const auto watch = [&](int depth, json::parse_event_t event, const json& parsed)
    { return guard.on_event(depth, event, parsed); };
    json value = json::parse(text, watch, false);
    if (!guard.error().empty())
    {
        return {{}, guard.error()};
    }
    if (value.is_discarded())
    {
        return {{}, "no JSON in UTF-8"};
    }
    return {std::move(value), {}};
}

} // namespace masticcourse::detail
