#include "peer_calls.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <utility>

namespace masticcourse::gateway::detail
{

namespace
{

/// Time after which the sender turns to another collector: well above the duration of a transaction whose
/// reply was lost once, and above the time within which collectors reply regardless of the store.
constexpr milliseconds collect_timeout{800};
constexpr milliseconds collect_connect_timeout{100};
/// Timeout of a query of a collector's cached rows. It is short because the store, which is queried after it,
/// replies quickly.
constexpr milliseconds row_query_timeout{100};

/// Timeout for the holder of an overdraft or of a quota slice. The holder replies without further calls, and
/// the caller's request waits meanwhile.
constexpr milliseconds holder_timeout{100};

/// Timeout of a load digest. Its reply is out of date after a few exchange intervals of 200 ms.
constexpr milliseconds load_digest_timeout{300};

/// Timeout of news about suspected requests. Callers' next attempts arrive within milliseconds, and a
/// neighbour that takes longer gets the news from another one.
constexpr milliseconds suspicions_timeout{300};

/// Timeout of a call that waits for changes of a table; the receiver replies within 1.25 s.
constexpr milliseconds feed_call_timeout{1'600};
/// The latency between gateways is about a millisecond.
constexpr milliseconds max_connect_timeout{150};

/// Header: for how long the collector has been unable to reach the store, in ms.
const std::string unreachable_for_header = "Lacked-Store-Ms";

/// Header: how long the gateway held a request for changes before it replied, in ms.
const std::string feed_held_header = "Feed-Held-Ms";

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_store_unreachable = 503;

http_client_request make_request(const std::string& address, const char* path, std::string body)
{
    return {.address = address,
            .method = "POST",
            .target = path,
            .body = std::move(body),
            .headers = {{"Content-Type", "application/cbor"}}};
}

std::optional<milliseconds> read_milliseconds(const http_client_reply& reply, const std::string& header)
{
    const auto text = reply.header(header);
    return text ? std::optional{milliseconds{std::atoll(text->c_str())}} : std::nullopt;
}

collector_reply to_collector_reply(http_client_reply reply)
{
    if (reply.failure != http_failure::none)
    {
        return {};
    }
    switch (reply.status)
    {
    case status_ok:
        return {collector_outcome::collected, std::move(reply.body)};
    case status_store_unreachable:
        return {.outcome = collector_outcome::store_unreachable,
                .unreachable_for =
                    read_milliseconds(reply, unreachable_for_header).value_or(milliseconds{0})};
    default:
        return {};
    }
}

} // namespace

void peer_calls::collect(const std::string& address, std::string changes, collector_callback on_reply)
{
    auto request = make_request(address, commit_path, std::move(changes));
    request.timeout = collect_timeout;
    request.connect_timeout = collect_connect_timeout;
    m_client.send(std::move(request), [on_reply = std::move(on_reply)](http_client_reply reply)
                  { on_reply(to_collector_reply(std::move(reply))); });
}

void peer_calls::send_idempotent(http_client_request request, milliseconds timeout,
                                 std::function<void(std::optional<http_client_reply>)> on_reply)
{
    request.timeout = timeout;
    request.connect_timeout = std::min(timeout, max_connect_timeout);
    request.may_resend = true;
    m_client.send(std::move(request),
                  [on_reply = std::move(on_reply)](http_client_reply reply)
                  {
                      const bool read = reply.failure == http_failure::none && reply.status == status_ok;
                      on_reply(read ? std::optional{std::move(reply)} : std::nullopt);
                  });
}

void peer_calls::send_idempotent(http_client_request request, milliseconds timeout, peer_callback on_reply)
{
    send_idempotent(std::move(request), timeout,
                    [on_reply = std::move(on_reply)](std::optional<http_client_reply> reply)
                    { on_reply(reply ? std::optional{std::move(reply->body)} : std::nullopt); });
}

void peer_calls::query_rows(const std::string& address, std::string query, peer_callback on_rows)
{
    send_idempotent(make_request(address, row_lookup_path, std::move(query)), row_query_timeout,
                    [address, on_rows = std::move(on_rows)](std::optional<std::string> rows)
                    {
                        if (!rows)
                        {
                            log_event(event_id::collector_failed,
                                      {{"collector", address}, {"why", "no answer to a read"}});
                        }
                        on_rows(std::move(rows));
                    });
}

void peer_calls::overdraft(const std::string& address, std::string message, peer_callback on_reply)
{
    send_idempotent(make_request(address, overdraft_path, std::move(message)), holder_timeout,
                    std::move(on_reply));
}

void peer_calls::feed(const std::string& address, std::string request, relay_callback on_reply)
{
    send_idempotent(make_request(address, feed_path, std::move(request)), feed_call_timeout,
                    [on_reply = std::move(on_reply)](std::optional<http_client_reply> reply)
                    {
                        if (!reply)
                        {
                            on_reply(std::nullopt);
                            return;
                        }
                        const auto held = read_milliseconds(*reply, feed_held_header);
                        on_reply(relayed_reply{.bytes = std::move(reply->body), .held = held});
                    });
}

void peer_calls::quota(const std::string& address, std::string request, peer_callback on_reply)
{
    send_idempotent(make_request(address, quota_path, std::move(request)), holder_timeout,
                    std::move(on_reply));
}

void peer_calls::load_digest(const std::string& address, std::string digest, peer_callback on_reply)
{
    send_idempotent(make_request(address, load_path, std::move(digest)), load_digest_timeout,
                    std::move(on_reply));
}

void peer_calls::suspicions(const std::string& address, std::string news, peer_callback on_reply)
{
    send_idempotent(make_request(address, suspicions_path, std::move(news)), suspicions_timeout,
                    std::move(on_reply));
}

http_response to_response(const collector_reply& reply)
{
    switch (reply.outcome)
    {
    case collector_outcome::collected:
        return {.status = status_ok, .content_type = "application/cbor", .body = reply.results};
    case collector_outcome::store_unreachable:
        return {.status = status_store_unreachable,
                .body = "{}",
                .headers = {{unreachable_for_header, std::to_string(reply.unreachable_for.count())}}};
    case collector_outcome::no_reply:
        break;
    }
    return {.status = status_bad_request, .body = "{}"};
}

http_response to_response(const relay_reply& reply)
{
    return {.status = status_ok,
            .content_type = "application/cbor",
            .body = encode(reply),
            .headers = {{feed_held_header, std::to_string(reply.held.count())}}};
}

http_response to_response(std::optional<std::string> reply)
{
    if (!reply)
    {
        return {.status = status_bad_request, .body = "{}"};
    }
    return {.status = status_ok, .content_type = "application/cbor", .body = std::move(*reply)};
}

} // namespace masticcourse::gateway::detail
