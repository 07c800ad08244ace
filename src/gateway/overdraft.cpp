#include "masticcourse/gateway/overdraft.hpp"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace masticcourse::gateway
{

std::string encode(const overdraft_message& message)
{
    return nlohmann::json{static_cast<int>(message.step), message.program.value, message.request.value,
                          message.tokens}
        .dump();
}

std::optional<overdraft_message> decode_overdraft(const std::string& bytes)
{
    constexpr std::size_t members = 4;
    const auto document = nlohmann::json::parse(bytes, nullptr, false);
    const bool shaped = document.is_array() && document.size() == members &&
                        document[0].is_number_unsigned() && document[1].is_string() &&
                        document[2].is_string() && document[3].is_number_integer();
    if (!shaped || document[0].get<unsigned>() > static_cast<unsigned>(overdraft_step::clear))
    {
        return std::nullopt;
    }
    return overdraft_message{.step = static_cast<overdraft_step>(document[0].get<unsigned>()),
                             .program = {document[1].get<std::string>()},
                             .request = {document[2].get<std::string>()},
                             .tokens = document[3].get<token_count>()};
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
    tell({.step = overdraft_step::clear, .program = program, .request = request}, nullptr);
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
    const auto seat = overdraft_seat_of(message.program.value);
    const auto holder = m_seats.holder_of(seat);
    if (m_seats.is_own(seat) || !holder)
    {
        report(apply(message));
        return;
    }
    m_call(*holder, encode(message),
           [report](const std::optional<std::string>& answer)
           {
               token_count granted = 0;
               if (answer)
               {
                   std::from_chars(answer->data(), answer->data() + answer->size(), granted);
               }
               report(granted);
           });
}

token_count overdraft::apply(const overdraft_message& message)
{
    switch (message.step)
    {
    case overdraft_step::draw:
        return m_seats.holds(overdraft_seat_of(message.program.value))
                   ? m_ledger.draw(message.program, message.request, message.tokens, m_clock())
                   : 0;
    case overdraft_step::settle:
        m_ledger.settle(message.program, message.request, message.tokens);
        return 0;
    case overdraft_step::clear:
        m_ledger.clear(message.program, message.request);
        return 0;
    }
    return 0;
}

std::optional<std::string> overdraft::serve(const std::string& bytes)
{
    const auto message = decode_overdraft(bytes);
    return message ? std::optional{std::to_string(apply(*message))} : std::nullopt;
}

} // namespace masticcourse::gateway
