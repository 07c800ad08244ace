/// @file
/// The users' platform's store over HTTP, small and in memory: rows with versions, conditional transactions,
/// a feed, and faults on command.
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

/// How calls end while it is set.
enum class table_fault : std::uint8_t
{
    none,
    /// 503 at once; nothing is done.
    refuse,
    /// 429 at once; nothing is done.
    rate_limit,
    /// Writes are done, their answers never come.
    lose_answers,
    /// Nothing is done and nothing comes.
    unresponsive,
};

class table_service
{
  public:
    /// @param address "ip:port"; port 0 takes any free one
    table_service(boost::asio::io_context& context, const std::string& address);

    [[nodiscard]] std::uint16_t port() const;

    /// Writes a row as the operator or a target would.
    /// @param document the value, not encoded
    void put(const std::string& table, const std::string& key, const std::string& document);
    void remove(const std::string& table, const std::string& key);

    void set_fault(table_fault fault);
    /// Forgets all changes so far: feeds that go on from before are told so.
    void truncate_history();

    /// @return calls answered or not, since the start
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
        /// Base64, as it came.
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
    void feed(const http_request& request, const std::shared_ptr<http_exchange>& exchange);
    bool respond_to_feed(const pending_feed& feed, bool expired);
    void respond_to_feeds();
    void write(const row_id& id, row content);
    void poll_feeds();

    boost::asio::io_context& m_context;
    std::mutex m_mutex;
    std::map<row_id, row> m_rows;
    /// Every change in order; removed rows stay in it.
    std::vector<std::pair<row_id, row>> m_history;
    std::uint64_t m_truncated_version = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_calls = 0;
    table_fault m_fault = table_fault::none;
    std::vector<pending_feed> m_feeds;
    /// Exchanges that never get an answer.
    std::vector<std::shared_ptr<http_exchange>> m_unanswered;
    std::unique_ptr<http_server> m_server;
};

} // namespace masticcourse::standins
