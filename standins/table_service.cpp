#include "table_service.hpp"

#include "base64.hpp"

#include "masticcourse/net/percent.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace masticcourse::standins
{

namespace
{

using nlohmann::json;

/// Interval at which pending feeds are checked for expiry.
constexpr std::chrono::milliseconds feed_poll_interval{10};

/// @name What the store takes and returns at once, in bytes, rows and entries
/// @{
constexpr std::size_t max_call_bytes = 1'000'000;
constexpr std::size_t max_transaction_entries = 100;
constexpr std::size_t max_row_bytes = std::size_t{64} * 1024;
constexpr std::size_t max_name_bytes = 200;
constexpr std::size_t max_page_rows = 500;
/// @}

std::string query_parameter(const http_request& request, std::string_view name)
{
    return query_value(split_target(request.target).query, name).value_or("");
}

/// @return the size of the bytes that @a text encodes as base64
std::size_t decoded_size(const std::string& text)
{
    const auto padding = static_cast<std::size_t>(std::ranges::count(text, '='));
    return text.size() / 4 * 3 - padding;
}

/// @return whether the store takes the transaction
bool is_within_limits(const http_request& request, const json& document)
{
    const auto is_valid_name = [](const json& it)
    {
        return std::ranges::all_of(
            std::array{"table", "part", "key"}, [&it](const char* name)
            { return it.at(name).get_ref<const std::string&>().size() <= max_name_bytes; });
    };
    const auto& conditions = document.at("precondition");
    const auto& puts = document.at("puts");
    const auto entries = conditions.size() + puts.size() + document.at("remove").size();
    return request.body.size() <= max_call_bytes && entries <= max_transaction_entries &&
           std::ranges::all_of(conditions, is_valid_name) && std::ranges::all_of(puts, is_valid_name) &&
           std::ranges::all_of(
               puts, [](const json& it)
               { return decoded_size(it.at("value").get_ref<const std::string&>()) <= max_row_bytes; });
}

std::uint64_t uint_parameter(const http_request& request, std::string_view name)
{
    const auto text = query_parameter(request, name);
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

table_service::table_service(boost::asio::io_context& context, const std::string& address)
    : m_context(context),
      m_server(std::make_unique<http_server>(context, address, http_limits{},
                                             [this](const auto& request, const auto& exchange)
                                             { handle_request(request, exchange); }))
{
    poll_feeds();
}

std::uint16_t table_service::port() const
{
    return m_server->port();
}

void table_service::put(const std::string& table, const std::string& key, const std::string& document)
{
    const std::scoped_lock lock(m_mutex);
    ++m_version;
    write({table, "", key}, {platform::to_base64(document), m_version});
    respond_to_feeds();
}

void table_service::remove(const std::string& table, const std::string& key)
{
    const std::scoped_lock lock(m_mutex);
    ++m_version;
    write({table, "", key}, {"", m_version, true});
    respond_to_feeds();
}

void table_service::set_fault(table_fault fault)
{
    const std::scoped_lock lock(m_mutex);
    m_fault = fault;
}

void table_service::truncate_history()
{
    const std::scoped_lock lock(m_mutex);
    m_history.clear();
    m_truncated_version = ++m_version;
}

std::uint64_t table_service::calls() const
{
    return m_calls;
}

void table_service::write(const row_id& id, row content)
{
    if (content.removed)
    {
        m_rows.erase(id);
    }
    else
    {
        m_rows[id] = content;
    }
    m_history.emplace_back(id, std::move(content));
}

void table_service::handle_request(const http_request& request,
                                   const std::shared_ptr<http_exchange>& exchange)
{
    const std::scoped_lock lock(m_mutex);
    ++m_calls;
    constexpr int service_unavailable = 503;
    constexpr int too_many_requests = 429;
    constexpr int not_found = 404;
    const auto path = split_target(request.target).path;
    if (m_fault == table_fault::refuse || m_fault == table_fault::rate_limit)
    {
        exchange->respond({.status = m_fault == table_fault::refuse ? service_unavailable : too_many_requests,
                           .body = "{}"});
    }
    else if (m_fault == table_fault::unresponsive)
    {
        m_unanswered.push_back(exchange);
    }
    else if (path == "/rows-tx")
    {
        transact(request, *exchange);
        if (m_fault == table_fault::lose_answers)
        {
            m_unanswered.push_back(exchange);
        }
        respond_to_feeds();
    }
    else if (path == "/rows-get")
    {
        get(request, *exchange);
    }
    else if (path == "/rows-parts")
    {
        list_partitions(request, *exchange);
    }
    else if (path == "/rows-feed")
    {
        feed(request, exchange);
    }
    else
    {
        exchange->respond({.status = not_found, .body = "{}"});
    }
}

void table_service::transact(const http_request& request, http_exchange& exchange)
{
    constexpr int bad_request = 400;
    const auto document = json::parse(request.body);
    if (!is_within_limits(request, document))
    {
        exchange.respond({.status = bad_request, .body = "{}"});
        return;
    }
    const auto to_row_id = [](const json& it) { return row_id{it.at("table"), it.at("part"), it.at("key")}; };
    json current_rows = json::array();
    bool preconditions_met = true;
    for (const auto& it : document.at("precondition"))
    {
        const auto found = m_rows.find(to_row_id(it));
        const std::uint64_t version = found != m_rows.end() ? found->second.version : 0;
        preconditions_met = preconditions_met && version == it.at("ver").get<std::uint64_t>();
        if (found != m_rows.end())
        {
            auto entry = it;
            entry["ver"] = version;
            entry["value"] = found->second.value;
            current_rows.push_back(std::move(entry));
        }
    }
    if (preconditions_met)
    {
        ++m_version;
        for (const auto& it : document.at("puts"))
        {
            write(to_row_id(it), {it.at("value"), m_version});
        }
    }
    if (m_fault == table_fault::lose_answers)
    {
        return;
    }
    constexpr int ok = 200;
    constexpr int conflict = 412;
    json response{{"ver", m_version}, {"nowMs", 0}};
    if (!preconditions_met)
    {
        response["rows"] = std::move(current_rows);
    }
    exchange.respond({.status = preconditions_met ? ok : conflict, .body = response.dump()});
}

void table_service::list_partitions(const http_request& request, http_exchange& exchange)
{
    const auto table = query_parameter(request, "table");
    std::set<std::string> partitions;
    for (const auto& [id, content] : m_rows)
    {
        if (id.table == table)
        {
            partitions.insert(id.partition);
        }
    }
    const json response{{"parts", partitions}, {"hasMore", false}, {"ver", m_version}, {"nowMs", 0}};
    exchange.respond({.body = response.dump()});
}

void table_service::get(const http_request& request, http_exchange& exchange)
{
    const auto table = query_parameter(request, "table");
    const auto partition = query_parameter(request, "part");
    const auto from = query_parameter(request, "from");
    const auto to = query_parameter(request, "to");
    const auto limit = uint_parameter(request, "limit");
    const auto max_rows = limit > 0 ? std::min<std::size_t>(limit, max_page_rows) : max_page_rows;
    json rows = json::array();
    std::size_t bytes = 0;
    auto it = m_rows.lower_bound({table, partition, from});
    const auto in_range = [&]
    {
        return it != m_rows.end() && it->first.table == table && it->first.partition == partition &&
               (to.empty() || it->first.key < to);
    };
    const auto fits = [&]
    { return rows.empty() || (rows.size() < max_rows && bytes + it->second.value.size() <= max_call_bytes); };
    for (; in_range() && fits(); ++it)
    {
        const auto& [id, content] = *it;
        bytes += content.value.size();
        rows.push_back({{"table", table},
                        {"part", partition},
                        {"key", id.key},
                        {"value", content.value},
                        {"ver", content.version}});
    }
    const json response{{"rows", std::move(rows)}, {"hasMore", in_range()}, {"ver", m_version}, {"nowMs", 0}};
    exchange.respond({.body = response.dump()});
}

void table_service::feed(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    constexpr int gone = 410;
    pending_feed it{
        .table = query_parameter(request, "table"),
        .after = uint_parameter(request, "after"),
        .deadline = std::chrono::steady_clock::now() +
                    std::chrono::milliseconds{static_cast<std::int64_t>(uint_parameter(request, "waitMs"))},
        .exchange = exchange};
    if (it.after < m_truncated_version)
    {
        exchange->respond({.status = gone, .body = "{}"});
    }
    else if (!respond_to_feed(it, false))
    {
        m_feeds.push_back(std::move(it));
    }
}

bool table_service::respond_to_feed(const pending_feed& feed, bool expired)
{
    json rows = json::array();
    for (const auto& [id, content] : m_history)
    {
        if (id.table == feed.table && content.version > feed.after)
        {
            json entry{
                {"table", id.table}, {"part", id.partition}, {"key", id.key}, {"ver", content.version}};
            if (content.removed)
            {
                entry["deleted"] = true;
            }
            else
            {
                entry["value"] = content.value;
            }
            rows.push_back(std::move(entry));
        }
    }
    if (rows.empty() && !expired)
    {
        return false;
    }
    const json response{{"rows", std::move(rows)}, {"ver", m_version}, {"nowMs", 0}};
    feed.exchange->respond({.body = response.dump()});
    return true;
}

void table_service::respond_to_feeds()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_feeds, [&](const pending_feed& it) { return respond_to_feed(it, it.deadline <= now); });
}

void table_service::poll_feeds()
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, feed_poll_interval);
    timer->async_wait(
        [this, timer](boost::system::error_code ec)
        {
            if (!ec)
            {
                {
                    const std::scoped_lock lock(m_mutex);
                    respond_to_feeds();
                }
                poll_feeds();
            }
        });
}

} // namespace masticcourse::standins
