/// @file
/// All connections of a process to others of the system, by number, as its control core speaks of them.
#pragma once

#include "masticcourse/control/peer_io.hpp"
#include "masticcourse/net/peer_link.hpp"
#include "masticcourse/telemetry/hlc.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

namespace masticcourse
{

using peer_input = std::variant<peer_opened, peer_closed, peer_received>;

/// Opens, takes and closes connections; messages are coded here, and each frame carries a stamp of the hybrid
/// logical clock, so that the time lines of processes are ordered by cause. Thread-safe.
class peer_hub
{
  public:
    using input_handler = std::function<void(peer_input)>;

    /// @param context       runs the connections
    /// @param address       where to take connections, "ip:port"
    /// @param first_inbound the number of the first inbound connection
    /// @param on_input      is told what happens, on I/O threads
    /// @throws std::runtime_error if the address can't be bound
    peer_hub(boost::asio::io_context& context, const std::string& address, link_id first_inbound,
             hybrid_clock& clock, input_handler on_input);
    peer_hub(const peer_hub&) = delete;
    peer_hub(peer_hub&&) = delete;
    peer_hub& operator=(const peer_hub&) = delete;
    peer_hub& operator=(peer_hub&&) = delete;
    ~peer_hub();

    void open(const open_peer& order);
    void send(const send_peer& order);
    void close(const close_peer& order);

  private:
    void accept(std::shared_ptr<peer_link> link);
    [[nodiscard]] peer_link_callbacks callbacks_for(link_id id, bool inbound);
    void on_frame(link_id id, const std::string& frame);
    void on_closed(link_id id);
    [[nodiscard]] std::shared_ptr<peer_link> find(link_id id);

    boost::asio::io_context& m_context;
    hybrid_clock& m_clock;
    input_handler m_on_input;
    std::mutex m_mutex;
    std::map<link_id, std::shared_ptr<peer_link>> m_links;
    link_id m_next_inbound;
    std::unique_ptr<peer_listener> m_listener;
};

} // namespace masticcourse
