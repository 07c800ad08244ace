#include "guarded_json.hpp"

#include <set>
#include <vector>

namespace masticcourse::detail
{

namespace
{

using nlohmann::json;

/// Checks for errors that the parser itself accepts: excessive nesting and duplicate members.
class json_validator
{
  public:
    /// @return whether the parser should keep the value
    bool on_event(int depth, json::parse_event_t event, const json& parsed)
    {
        switch (event)
        {
        case json::parse_event_t::object_start:
            m_member_names.emplace_back();
            check_depth(depth);
            break;
        case json::parse_event_t::array_start:
            check_depth(depth);
            break;
        case json::parse_event_t::object_end:
            m_member_names.pop_back();
            break;
        case json::parse_event_t::key:
            check_duplicate_member(parsed.get_ref<const std::string&>());
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

    void check_duplicate_member(const std::string& name)
    {
        if (!m_member_names.back().insert(name).second)
        {
            m_error = "a member stands twice: " + name;
        }
    }

    std::vector<std::set<std::string>> m_member_names;
    std::string m_error;
};

} // namespace

json_parse_result parse_bounded_json(const std::string& text, std::size_t max_size)
{
    if (text.size() > max_size)
    {
        return {{}, "longer than " + std::to_string(max_size) + " bytes"};
    }
    json_validator validator;
    const auto callback = [&](int depth, json::parse_event_t event, const json& parsed)
    { return validator.on_event(depth, event, parsed); };
    json value = json::parse(text, callback, false);
    if (!validator.error().empty())
    {
        return {{}, validator.error()};
    }
    if (value.is_discarded())
    {
        return {{}, "no JSON in UTF-8"};
    }
    return {std::move(value), {}};
}

} // namespace masticcourse::detail
