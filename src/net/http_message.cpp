#include "masticcourse/net/http_message.hpp"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace masticcourse
{

namespace
{

bool equal_ignoring_case(char a, char b)
{
    return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
}

bool iequals(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, equal_ignoring_case);
}

} // namespace

std::optional<std::string> find_header(const std::vector<http_header>& headers, std::string_view name)
{
    const auto it = std::ranges::find_if(headers, [name](const auto& h) { return iequals(h.name, name); });
    return it != headers.end() ? std::optional{it->value} : std::nullopt;
}

std::optional<std::string> http_request::header(std::string_view name) const
{
    return find_header(headers, name);
}

http_response problem_response(const problem& failure, int status)
{
    http_response response{.status = status != 0 ? status : http_status(failure.id),
                           .content_type = "application/problem+json"};
    nlohmann::json document{{"type", "about:blank"},
                            {"title", title_of(failure.id)},
                            {"status", response.status},
                            {"id", static_cast<int>(failure.id)},
                            {"ran", to_string(failure.ran)}};
    if (!failure.detail.empty())
    {
        document["detail"] = failure.detail;
    }
    if (failure.retry_after)
    {
        // `Retry-After` has whole seconds; rounded up, because a retry that comes too early is refused again.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*failure.retry_after);
        response.headers.push_back({"Retry-After", std::to_string(seconds.count())});
        document["retry_after_ms"] = failure.retry_after->count();
    }
    response.body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace masticcourse
