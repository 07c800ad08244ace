#include "masticcourse/daemon/peer_hub.hpp"

#include <array>
#include <chrono>
#include <optional>
#include <utility>

namespace masticcourse
{

namespace
{

constexpr auto connect_timeout = std::chrono::milliseconds{1000};
constexpr unsigned byte_bits = 8;
constexpr std::size_t wall_bytes = 8;
constexpr std::size_t counter_bytes = 4;
constexpr std::size_t stamp_bytes = wall_bytes + counter_bytes;

void put_number(std::string& to, std::uint64_t number, std::size_t bytes)
{
    for (auto at = bytes; at > 0; --at)
    {
        to.push_back(static_cast<char>(number >> ((at - 1) * byte_bits)));
    }
}

std::uint64_t take_number(std::string_view from)
{
    std::uint64_t number = 0;
    for (const char c : from)
    {
        number = (number << byte_bits) | static_cast<unsigned char>(c);
    }
    return number;
}

std::string frame_of(const hlc_timestamp& stamp, const peer_message& message)
{
    std::string frame;
    put_number(frame, static_cast<std::uint64_t>(stamp.wall.count()), wall_bytes);
    put_number(frame, stamp.counter, counter_bytes);
    frame += encode(message);
    return frame;
}

hlc_timestamp stamp_of(std::string_view frame)
{
    const auto wall = static_cast<std::int64_t>(take_number(frame.substr(0, wall_bytes)));
    const auto counter = static_cast<std::uint32_t>(take_number(frame.substr(wall_bytes, counter_bytes)));
    return {.wall = std::chrono::microseconds{wall}, .counter = counter};
}

} // namespace

peer_hub::peer_hub(boost::asio::io_context& context, const std::string& address, link_id first_inbound,
                   hybrid_clock& clock, input_handler on_input)
    : m_context(context), m_clock(clock), m_on_input(std::move(on_input)), m_next_inbound(first_inbound)
{
    m_listener = std::make_unique<peer_listener>(
        context, address, [this](std::shared_ptr<peer_link> link) { accept(std::move(link)); });
}

peer_hub::~peer_hub() = default;

void peer_hub::open(const open_peer& order)
{
    const auto link =
        peer_link::connect(m_context, order.address, callbacks_for(order.link, false), connect_timeout);
    const std::scoped_lock lock{m_mutex};
    m_links[order.link] = link;
}

void peer_hub::send(const send_peer& order)
{
    if (const auto link = find(order.link))
    {
        link->send(frame_of(m_clock.now(), order.message));
    }
}

void peer_hub::close(const close_peer& order)
{
    const auto link = find(order.link);
    if (!link)
    {
        return;
    }
    {
        const std::scoped_lock lock{m_mutex};
        m_links.erase(order.link);
    }
    link->close();
}

void peer_hub::accept(std::shared_ptr<peer_link> link)
{
    link_id id = 0;
    {
        const std::scoped_lock lock{m_mutex};
        id = m_next_inbound++;
        m_links[id] = link;
    }
    m_on_input(peer_opened{id});
    link->start(callbacks_for(id, true));
}

peer_link_callbacks peer_hub::callbacks_for(link_id id, bool inbound)
{
    peer_link_callbacks callbacks{.on_frame = [this, id](const std::string& frame) { on_frame(id, frame); },
                                  .on_closed = [this, id](const std::string& /*reason*/) { on_closed(id); },
                                  .on_open = {}};
    callbacks.on_open = [this, id, inbound]
    {
        if (!inbound)
        {
            m_on_input(peer_opened{id});
        }
    };
    return callbacks;
}

void peer_hub::on_frame(link_id id, const std::string& frame)
{
    auto message = frame.size() > stamp_bytes ? decode_message(frame.substr(stamp_bytes)) : std::nullopt;
    if (!message)
    {
        // A peer of another version, or none of ours: the connection is of no use.
        close({id});
        m_on_input(peer_closed{id});
        return;
    }
    m_clock.observe(stamp_of(frame));
    m_on_input(peer_received{id, std::move(*message)});
}

void peer_hub::on_closed(link_id id)
{
    {
        const std::scoped_lock lock{m_mutex};
        m_links.erase(id);
    }
    m_on_input(peer_closed{id});
}

std::shared_ptr<peer_link> peer_hub::find(link_id id)
{
    const std::scoped_lock lock{m_mutex};
    const auto it = m_links.find(id);
    return it != m_links.end() ? it->second : nullptr;
}

} // namespace masticcourse
