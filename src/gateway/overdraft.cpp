#include "masticcourse/gateway/overdraft.hpp"

#include <utility>

namespace masticcourse::gateway
{

ownership_terms overdraft_ownership_terms()
{
    // What a life that died had open is not known: its buckets stay its own until no program of then is left.
    return {.table = "overdraft", .buckets = overdraft_bucket_count, .inherited_after = longest_program};
}

void overdraft::draw(const program_id& program, const request_id& request, token_count most,
                     draw_callback on_grant)
{
    tell({.step = overdraft_step::draw, .program = program, .request = request, .tokens = most},
         std::move(on_grant));
}

void overdraft::settle(const program_id& program, const request_id& request, token_count used)
{
    tell({.step = overdraft_step::settle, .program = program, .request = request, .tokens = used}, nullptr);
}

void overdraft::clear(const program_id& program, const request_id& request)
{
    settle(program, request, 0);
}

void overdraft::tell(const overdraft_message& message, draw_callback on_grant)
{
    const auto report = [on_grant = std::move(on_grant)](token_count granted)
    {
        if (on_grant)
        {
            on_grant(granted);
        }
    };
    const auto bucket = overdraft_bucket_of(message.program.value);
    const auto holder = m_buckets.holder_of(bucket);
    if (m_buckets.is_own(bucket) || !holder)
    {
        report(apply(message));
        return;
    }
    m_call(*holder, encode(message),
           [report](const std::optional<std::string>& answer)
           {
               const auto granted = answer ? decode_grant(*answer) : std::nullopt;
               report(granted.value_or(0));
           });
}

token_count overdraft::apply(const overdraft_message& message)
{
    if (message.step == overdraft_step::settle)
    {
        m_ledger.settle(message.program, message.request, message.tokens);
        return 0;
    }
    return m_buckets.holds(overdraft_bucket_of(message.program.value))
               ? m_ledger.draw(message.program, message.request, message.tokens, m_clock())
               : 0;
}

std::optional<std::string> overdraft::serve(const std::string& bytes)
{
    const auto message = decode_overdraft(bytes);
    return message ? std::optional{encode_grant(apply(*message))} : std::nullopt;
}

} // namespace masticcourse::gateway
