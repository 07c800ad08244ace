#include "table_service.hpp"

#include "base64.hpp"

#include "masticcourse/net/percent.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace masticcourse::standins
{

namespace
{

using nlohmann::json;

/// How often waiting feeds are looked at for their end.
constexpr std::chrono::milliseconds tick_period{10};

std::string parameter(const http_request& request, std::string_view name)
{
    return query_value(split_target(request.target).query, name).value_or("");
}

std::uint64_t number(const http_request& request, std::string_view name)
{
    const auto text = parameter(request, name);
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

table_service::table_service(boost::asio::io_context& context, const std::string& address)
    : m_context(context),
      m_server(std::make_unique<http_server>(context, address, http_limits{},
                                             [this](const auto& request, const auto& exchange)
                                             { serve(request, exchange); }))
{
    tick();
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
    answer_feeds();
}

void table_service::remove(const std::string& table, const std::string& key)
{
    const std::scoped_lock lock(m_mutex);
    ++m_version;
    write({table, "", key}, {"", m_version, true});
    answer_feeds();
}

void table_service::set_fault(table_fault fault)
{
    const std::scoped_lock lock(m_mutex);
    m_fault = fault;
}

void table_service::forget_history()
{
    const std::scoped_lock lock(m_mutex);
    m_history.clear();
    m_forgotten = ++m_version;
}

std::uint64_t table_service::calls() const
{
    return m_calls;
}

void table_service::write(const place& where, row content)
{
    if (content.removed)
    {
        m_rows.erase(where);
    }
    else
    {
        m_rows[where] = content;
    }
    m_history.emplace_back(where, std::move(content));
}

void table_service::serve(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    const std::scoped_lock lock(m_mutex);
    ++m_calls;
    constexpr int refused = 503;
    constexpr int limited = 429;
    constexpr int unknown_path = 404;
    const auto path = split_target(request.target).path;
    if (m_fault == table_fault::refuse || m_fault == table_fault::rate_limit)
    {
        exchange->respond({.status = m_fault == table_fault::refuse ? refused : limited, .body = "{}"});
    }
    else if (m_fault == table_fault::silent)
    {
        m_held.push_back(exchange);
    }
    else if (path == "/rows-tx")
    {
        transact(request, *exchange);
        if (m_fault == table_fault::lose_answers)
        {
            m_held.push_back(exchange);
        }
        answer_feeds();
    }
    else if (path == "/rows-get")
    {
        get(request, *exchange);
    }
    else if (path == "/rows-feed")
    {
        feed(request, exchange);
    }
    else
    {
        exchange->respond({.status = unknown_path, .body = "{}"});
    }
}

void table_service::transact(const http_request& request, http_exchange& exchange)
{
    const auto document = json::parse(request.body);
    const auto to_place = [](const json& it) { return place{it.at("table"), it.at("part"), it.at("key")}; };
    json current = json::array();
    bool holds = true;
    for (const auto& it : document.at("precondition"))
    {
        const auto found = m_rows.find(to_place(it));
        const std::uint64_t version = found != m_rows.end() ? found->second.version : 0;
        holds = holds && version == it.at("ver").get<std::uint64_t>();
        if (found != m_rows.end())
        {
            auto shown = it;
            shown["ver"] = version;
            shown["value"] = found->second.value;
            current.push_back(std::move(shown));
        }
    }
    if (holds)
    {
        ++m_version;
        for (const auto& it : document.at("puts"))
        {
            write(to_place(it), {it.at("value"), m_version});
        }
    }
    if (m_fault == table_fault::lose_answers)
    {
        return;
    }
    constexpr int ok = 200;
    constexpr int conflict = 412;
    json answer{{"ver", m_version}, {"nowMs", 0}};
    if (!holds)
    {
        answer["rows"] = std::move(current);
    }
    exchange.respond({.status = holds ? ok : conflict, .body = answer.dump()});
}

void table_service::get(const http_request& request, http_exchange& exchange)
{
    const auto table = parameter(request, "table");
    const auto partition = parameter(request, "part");
    const auto from = parameter(request, "from");
    const auto to = parameter(request, "to");
    json rows = json::array();
    for (const auto& [where, content] : m_rows)
    {
        const bool inside = where.table == table && where.partition == partition && where.key >= from &&
                            (to.empty() || where.key < to);
        if (inside)
        {
            rows.push_back({{"table", table},
                            {"part", partition},
                            {"key", where.key},
                            {"value", content.value},
                            {"ver", content.version}});
        }
    }
    const json answer{{"rows", std::move(rows)}, {"hasMore", false}, {"ver", m_version}, {"nowMs", 0}};
    exchange.respond({.body = answer.dump()});
}

void table_service::feed(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    constexpr int gone = 410;
    waiting_feed it{.table = parameter(request, "table"),
                    .after = number(request, "after"),
                    .until = std::chrono::steady_clock::now() +
                             std::chrono::milliseconds{static_cast<std::int64_t>(number(request, "waitMs"))},
                    .exchange = exchange};
    if (it.after < m_forgotten)
    {
        exchange->respond({.status = gone, .body = "{}"});
    }
    else if (!answer_feed(it, false))
    {
        m_feeds.push_back(std::move(it));
    }
}

bool table_service::answer_feed(const waiting_feed& feed, bool at_end)
{
    json rows = json::array();
    for (const auto& [where, content] : m_history)
    {
        if (where.table == feed.table && content.version > feed.after)
        {
            json shown{{"table", where.table},
                       {"part", where.partition},
                       {"key", where.key},
                       {"ver", content.version}};
            if (content.removed)
            {
                shown["deleted"] = true;
            }
            else
            {
                shown["value"] = content.value;
            }
            rows.push_back(std::move(shown));
        }
    }
    if (rows.empty() && !at_end)
    {
        return false;
    }
    const json answer{{"rows", std::move(rows)}, {"ver", m_version}, {"nowMs", 0}};
    feed.exchange->respond({.body = answer.dump()});
    return true;
}

void table_service::answer_feeds()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_feeds, [&](const waiting_feed& it) { return answer_feed(it, it.until <= now); });
}

void table_service::tick()
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, tick_period);
    timer->async_wait(
        [this, timer](boost::system::error_code ec)
        {
            if (!ec)
            {
                {
                    const std::scoped_lock lock(m_mutex);
                    answer_feeds();
                }
                tick();
            }
        });
}

} // namespace masticcourse::standins
