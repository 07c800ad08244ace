// What other gateways may call.
#include "gateway_state.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace masticcourse::gateway
{

void gateway::state::serve_feed(const std::string& bytes, const std::shared_ptr<http_exchange>& exchange)
{
    const auto request = decode_relay_request(bytes);
    const std::array followers{std::pair{std::string{peer_list::table_name}, &gateways.table()},
                               std::pair{decoders.config_table, &config_rows},
                               std::pair{decoders.target_table, &target_rows}};
    const auto is_requested = [&request](const auto& it) { return request && it.first == request->table; };
    const auto it = std::ranges::find_if(followers, is_requested);
    if (it == followers.end())
    {
        exchange->respond(detail::to_response(std::optional<std::string>{}));
        return;
    }
    it->second->serve(*request, [exchange](const relay_reply& reply)
                      { exchange->respond(detail::to_response(reply)); });
}

std::vector<peer_handler> gateway::peer_handlers()
{
    // Replies with what is made of the body of the call, or with an error if that is nothing.
    const auto reply_with = [](auto read)
    {
        return [read](const http_request& request, const std::shared_ptr<http_exchange>& exchange)
        { exchange->respond(detail::to_response(read(request.body))); };
    };
    auto& it = *m_state;
    return {
        {detail::commit_path,
         [&it](const http_request& request, const std::shared_ptr<http_exchange>& exchange)
         {
             it.commits.collect(request.body, [exchange](const collector_reply& reply)
                                { exchange->respond(detail::to_response(reply)); });
         }},
        {detail::feed_path, [&it](const http_request& request, const std::shared_ptr<http_exchange>& exchange)
         { it.serve_feed(request.body, exchange); }},
        {detail::row_lookup_path,
         reply_with([&it](const auto& body) { return it.shared_rows.read_cached(body); })},
        {detail::overdraft_path, reply_with([&it](const auto& body) { return it.overdrafts.serve(body); })},
        {detail::quota_path,
         reply_with([&it](const auto& body) { return it.quotas.handle_peer_request(body); })},
        {detail::load_path, reply_with([&it](const auto& body) { return it.scheduler.serve_digest(body); })},
        {detail::suspicions_path, reply_with([&it](const auto& body) { return it.suspicions.serve(body); })}};
}

} // namespace masticcourse::gateway
