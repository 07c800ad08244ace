#include "masticcourse/gateway/overdraft.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// How long a holder grants overdrafts in an outage of the store, which it can't tell from being cut off
/// while a later incarnation on its VM claims the buckets.
constexpr seconds max_row_age{45};

} // namespace

ownership_terms overdraft_ownership_terms()
{
    // What an earlier holder granted is unknown, so its buckets are not taken over until it has stopped to
    // grant and all programs of that time must have ended.
    return {.table = "overdraft",
            .buckets = overdraft_bucket_count,
            .inheritance_delay = max_row_age + max_program_idle_time,
            .max_row_age = max_row_age};
}

void overdraft::draw(const program_id& program, const request_id& request, token_count max_tokens,
                     draw_callback on_grant)
{
    send({.operation = overdraft_operation::draw,
          .program = program,
          .request = request,
          .tokens = max_tokens},
         std::move(on_grant));
}

void overdraft::settle(const program_id& program, const request_id& request, token_count used_tokens)
{
    send({.operation = overdraft_operation::settle,
          .program = program,
          .request = request,
          .tokens = used_tokens},
         nullptr);
}

void overdraft::clear(const program_id& program, const request_id& request)
{
    settle(program, request, 0);
}

void overdraft::send(const overdraft_message& message, draw_callback on_grant)
{
    const auto complete = [on_grant = std::move(on_grant)](token_count granted)
    {
        if (on_grant)
        {
            on_grant(granted);
        }
    };
    const auto bucket = overdraft_bucket_of(message.program.value);
    const auto holder = m_buckets.holder_of(bucket);
    if (m_buckets.is_holder(bucket) || !holder)
    {
        complete(apply(message));
        return;
    }
    m_call(*holder, encode(message),
           [complete](const std::optional<std::string>& reply)
           {
               const auto granted = reply ? decode_grant(*reply) : std::nullopt;
               complete(granted.value_or(0));
           });
}

token_count overdraft::apply(const overdraft_message& message)
{
    if (message.operation == overdraft_operation::settle)
    {
        m_ledger.settle(message.program, message.request, message.tokens);
        log_settlement(message);
        return 0;
    }
    return m_buckets.may_use(overdraft_bucket_of(message.program.value))
               ? m_ledger.draw(message.program, message.request, message.tokens, m_clock())
               : 0;
}

void overdraft::log_settlement(const overdraft_message& message) const
{
    const auto state = m_ledger.find(message.program);
    log_event(event_id::overdraft_settled, {{"request", message.request.value},
                                            {"program", message.program.value},
                                            {"outstanding", std::to_string(message.tokens)},
                                            {"program_outstanding", std::to_string(state.outstanding)},
                                            {"limit", std::to_string(state.limit)}});
}

std::optional<std::string> overdraft::serve(const std::string& bytes)
{
    const auto message = decode_overdraft(bytes);
    return message ? std::optional{encode_grant(apply(*message))} : std::nullopt;
}

} // namespace masticcourse::gateway
