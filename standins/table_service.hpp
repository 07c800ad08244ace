/// @file
/// In-memory stand-in for the HTTP row store of the users' platform: versioned rows, conditional
/// transactions, a change feed, fault injection.
#pragma once

#include "masticcourse/net/http_server.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace masticcourse::standins
{

/// Injected fault; in effect until replaced.
enum class table_fault : std::uint8_t
{
    none,
    /// Responds with 503 immediately; the call has no effect.
    refuse,
    /// Responds with 429 immediately; the call has no effect.
    rate_limit,
    /// Writes take effect, but are never answered.
    lose_answers,
    /// Calls have no effect and are never answered.
    unresponsive,
};

class table_service
{
  public:
    /// @param address "ip:port"; port 0 selects any free port
    table_service(boost::asio::io_context& context, const std::string& address);

    [[nodiscard]] std::uint16_t port() const;

    /// Writes a row on behalf of the operator or a target.
    /// @param document the unencoded value
    void put(const std::string& table, const std::string& key, const std::string& document);
    void remove(const std::string& table, const std::string& key);

    void set_fault(table_fault fault);
    /// Discards the change history. Feeds that resume from before this point are answered with 410.
    void truncate_history();

    /// @return the number of calls received since the start, answered or not
    [[nodiscard]] std::uint64_t calls() const;

  private:
    struct row_id
    {
        std::string table;
        std::string partition;
        std::string key;
        friend auto operator<=>(const row_id&, const row_id&) = default;
    };
    struct row
    {
        /// Base64, as received.
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    struct pending_feed
    {
        std::string table;
        std::uint64_t after = 0;
        std::chrono::steady_clock::time_point deadline;
        std::shared_ptr<http_exchange> exchange;
    };

    void handle_request(const http_request& request, const std::shared_ptr<http_exchange>& exchange);
    void transact(const http_request& request, http_exchange& exchange);
    void get(const http_request& request, http_exchange& exchange);
    void list_partitions(const http_request& request, http_exchange& exchange);
    void feed(const http_request& request, const std::shared_ptr<http_exchange>& exchange);
    bool respond_to_feed(const pending_feed& feed, bool expired);
    void respond_to_feeds();
    void write(const row_id& id, row content);
    void poll_feeds();

    boost::asio::io_context& m_context;
    std::mutex m_mutex;
    std::map<row_id, row> m_rows;
    /// All changes in order, including removals.
    std::vector<std::pair<row_id, row>> m_history;
    std::uint64_t m_truncated_version = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_calls = 0;
    table_fault m_fault = table_fault::none;
    std::vector<pending_feed> m_feeds;
    /// Exchanges that are kept open and never answered.
    std::vector<std::shared_ptr<http_exchange>> m_unanswered;
    std::unique_ptr<http_server> m_server;
};

} // namespace masticcourse::standins
