/// @file
/// Overdrafts as requests use them: asked of the gateway that may allow them, which may be this one.
#pragma once

#include "masticcourse/gateway/bucket_ownership.hpp"
#include "masticcourse/gateway/overdraft_ledger.hpp"

#include <functional>
#include <optional>
#include <string>

namespace masticcourse::gateway
{

/// What one gateway asks another about the overdraft of a program.
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
    /// Of `draw`, the most that the turn generates; of `settle`, what of it stays open.
    token_count tokens = 0;
};

/// @name On the wire between gateways
/// @{
[[nodiscard]] std::string encode(const overdraft_message& message);
/// @return nothing if @a bytes are no message
[[nodiscard]] std::optional<overdraft_message> decode_overdraft(const std::string& bytes);
/// The answer: the tokens that may be handed out.
[[nodiscard]] std::string encode_grant(token_count granted);
[[nodiscard]] std::optional<token_count> decode_grant(const std::string& bytes);
/// @}

/// The tokens that may be handed out; 0 if none, or if the holder did not answer.
using draw_callback = std::function<void(token_count)>;

[[nodiscard]] ownership_terms overdraft_ownership_terms();

class overdraft
{
  public:
    overdraft(bucket_ownership& buckets, peer_call call, clock_function clock)
        : m_buckets(buckets), m_call(std::move(call)), m_clock(std::move(clock))
    {
    }

    /// Asks for an overdraft for a turn. Calls back once, at once if the bucket is held here or by nobody.
    void draw(const program_id& program, const request_id& request, token_count max_tokens,
              draw_callback on_grant);

    /// The turn has ended, and @a used tokens of it stay open: no row accounts for them yet, or they lie
    /// beyond the budget in it.
    void settle(const program_id& program, const request_id& request, token_count used_tokens);

    /// A row accounts for the turn now.
    void clear(const program_id& program, const request_id& request);

    /// Answers a peer.
    /// @return nothing if the message can't be read
    [[nodiscard]] std::optional<std::string> serve(const std::string& bytes);

    /// Whether nothing is open here for the programs of a bucket.
    [[nodiscard]] bool idle(std::size_t bucket) const
    {
        return m_ledger.empty(bucket);
    }

    /// Forgets programs that are long over.
    void evict_idle()
    {
        m_ledger.evict_idle(m_clock());
    }

  private:
    void send(const overdraft_message& message, draw_callback on_grant);
    token_count apply(const overdraft_message& message);

    bucket_ownership& m_buckets;
    peer_call m_call;
    clock_function m_clock;
    overdraft_ledger m_ledger;
};

} // namespace masticcourse::gateway
