/// @file
/// Client and server side of overdrafts: a gateway requests them from the holder of the program's bucket,
/// which may be the gateway itself.
#pragma once

#include "masticcourse/gateway/bucket_ownership.hpp"
#include "masticcourse/gateway/overdraft_ledger.hpp"

#include <functional>
#include <optional>
#include <string>

namespace masticcourse::gateway
{

/// Operation that one gateway requests from another on the overdraft of a program.
enum class overdraft_operation : std::uint8_t
{
    draw,
    settle,
};

struct overdraft_message
{
    overdraft_operation operation = overdraft_operation::draw;
    program_id program;
    request_id request;
    /// `draw`: the maximum that the turn generates; `settle`: the tokens that stay outstanding.
    token_count tokens = 0;
};

/// @name Wire format between gateways
/// @{
[[nodiscard]] std::string encode(const overdraft_message& message);
/// @return empty if @a bytes are not a valid message
[[nodiscard]] std::optional<overdraft_message> decode_overdraft(const std::string& bytes);
/// Encodes the reply: the number of tokens that may be delivered.
[[nodiscard]] std::string encode_grant(token_count granted);
[[nodiscard]] std::optional<token_count> decode_grant(const std::string& bytes);
/// @}

/// Receives the number of tokens that may be delivered; 0 if there are none or the holder did not reply.
using draw_callback = std::function<void(token_count)>;

[[nodiscard]] ownership_terms overdraft_ownership_terms();

class overdraft
{
  public:
    overdraft(bucket_ownership& buckets, peer_call call, clock_function clock)
        : m_buckets(buckets), m_call(std::move(call)), m_clock(std::move(clock))
    {
    }

    /// Requests an overdraft for a turn. Calls back once; synchronously if this gateway or no gateway holds
    /// the bucket.
    void draw(const program_id& program, const request_id& request, token_count max_tokens,
              draw_callback on_grant);

    /// Ends the turn. Its @a used_tokens stay outstanding: they are not yet recorded in the program's
    /// spending row, or exceed the budget there.
    void settle(const program_id& program, const request_id& request, token_count used_tokens);

    /// Removes the turn: its tokens are now recorded in the program's spending row.
    void clear(const program_id& program, const request_id& request);

    /// Handles a message from a peer.
    /// @return the encoded reply; empty if the message cannot be decoded
    [[nodiscard]] std::optional<std::string> serve(const std::string& bytes);

    /// Whether no overdraft is outstanding here for any program of the bucket.
    [[nodiscard]] bool idle(std::size_t bucket) const
    {
        return m_ledger.empty(bucket);
    }

    /// @return the tokens outstanding here for all programs
    [[nodiscard]] token_count outstanding() const
    {
        return m_ledger.outstanding();
    }

    /// Evicts programs without a draw for `max_program_idle_time`.
    void evict_idle()
    {
        m_ledger.evict_idle(m_clock());
    }

  private:
    void send(const overdraft_message& message, draw_callback on_grant);
    token_count apply(const overdraft_message& message);
    void log_settlement(const overdraft_message& message) const;

    bucket_ownership& m_buckets;
    peer_call m_call;
    clock_function m_clock;
    overdraft_ledger m_ledger;
};

} // namespace masticcourse::gateway
