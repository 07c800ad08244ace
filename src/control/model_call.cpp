#include "model_call.hpp"

#include "masticcourse/net/percent.hpp"
#include "masticcourse/net/sse.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace masticcourse::detail
{

namespace
{

using nlohmann::json;

std::string stream_name(const engine_start& order, const backend_tools& tools)
{
    return order.call.program.value + '/' + order.call.key.value + '@' + tools.options.incarnation.value +
           '/' + std::to_string(tools.run);
}

std::string body_of(const engine_start& order, const std::string& stream)
{
    return json{{"stream_id", stream},
                {"program", order.call.program.value},
                {"prompt", order.prompt},
                {"max_tokens", order.request.max_tokens},
                {"order", order.order}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::uint64_t> number_of(const std::optional<std::string>& id)
{
    std::uint64_t n = 0;
    if (!id || std::from_chars(id->data(), id->data() + id->size(), n).ec != std::errc{})
    {
        return std::nullopt;
    }
    return n;
}

token_usage usage_of(const json& event)
{
    const json counts = event.value("usage", json::object());
    return {.prompt = counts.value("prompt", token_count{0}),
            .cached = counts.value("cached", token_count{0}),
            .completion = counts.value("completion", token_count{0})};
}

/// All private members run on the strand.
class model_call final : public backend_call, public std::enable_shared_from_this<model_call>
{
  public:
    model_call(backend_tools tools, engine_start order)
        : m_tools(std::move(tools)), m_order(std::move(order)), m_name(stream_name(m_order, m_tools)),
          m_strand(m_tools.context.get_executor()), m_pause(m_strand)
    {
    }

    void start() override
    {
        boost::asio::post(m_strand, [self = shared_from_this()] { self->submit(); });
    }

    void cancel() override
    {
        boost::asio::post(m_strand, [self = shared_from_this()] { self->ask_to_cancel(); });
    }

  private:
    [[nodiscard]] std::string stream_target() const
    {
        return "/v1/streams/" + percent_encode(m_name);
    }

    void submit()
    {
        open({.address = m_tools.options.address,
              .method = "POST",
              .target = "/v1/completions",
              .body = body_of(m_order, m_name),
              .headers = {{"Content-Type", "application/json"}, {"Accept", "text/event-stream"}},
              .timeout = m_tools.options.longest_silence});
    }

    void resume()
    {
        http_client_request request{.address = m_tools.options.address,
                                    .target = stream_target(),
                                    .headers = {{"Accept", "text/event-stream"}},
                                    .timeout = m_tools.options.longest_silence};
        if (m_next > 0)
        {
            request.headers.push_back({"Last-Event-ID", std::to_string(m_next - 1)});
        }
        m_resumed = true;
        open(std::move(request));
    }

    void open(http_client_request request)
    {
        auto self = shared_from_this();
        m_parser.emplace([this](const sse_event& event) { take(event); });
        m_stream = m_tools.client.open_stream(
            std::move(request),
            [self](std::string_view chunk)
            { boost::asio::post(self->m_strand, [self, text = std::string{chunk}] { self->feed(text); }); },
            [self](http_client_reply reply)
            { boost::asio::post(self->m_strand, [self, reply = std::move(reply)] { self->ended(reply); }); });
    }

    void feed(const std::string& text)
    {
        if (!m_parser->feed(text))
        {
            m_stream->cancel();
        }
    }

    void take(const sse_event& event)
    {
        const auto number = number_of(event.id);
        // Events that came before a break may come again; one after a gap is left to the next resume.
        if (m_outcome || !number || *number != m_next)
        {
            return;
        }
        const json data = json::parse(event.data, nullptr, false);
        if (!data.is_object())
        {
            return;
        }
        m_next += 1;
        m_failures = 0;
        if (data.contains("finish"))
        {
            take_finish(data);
            return;
        }
        const auto text = data.value("token", std::string{});
        m_text += text;
        m_tools.tell(engine_tokens{.call = m_order.call, .sequence = *number, .text = text});
    }

    void take_finish(const json& data)
    {
        const auto reason = data.value("finish", std::string{});
        if (reason == "stop" || reason == "length")
        {
            m_outcome = call_outcome{.output = m_text, .usage = usage_of(data)};
        }
        else if (reason == "too_long")
        {
            m_outcome = call_outcome{.error = {.id = problem_id::target_refused,
                                               .ran = ran_state::no,
                                               .detail = "the prompt does not fit into the engine"}};
        }
        else
        {
            m_outcome = lost_outcome(m_order.request, "the engine ended the stream: " + reason);
        }
    }

    void ended(const http_client_reply& reply)
    {
        m_stream.reset();
        if (m_outcome)
        {
            finish(std::move(*m_outcome));
            return;
        }
        const bool broke_off = is_success(reply.status);
        const bool no_answer = reply.status == 0;
        const bool never_sent = !m_resumed && reply.failure == http_failure::connect;
        if (never_sent || (!broke_off && !no_answer))
        {
            // A refused resume means that the engine knows no such stream: it was given the call, and lost
            // it.
            finish(m_resumed ? lost_outcome(m_order.request, "the engine lost the stream")
                             : failure_of(m_order.request, reply));
            return;
        }
        m_failures += 1;
        if (m_cancelled || m_failures > m_tools.options.resume_attempts)
        {
            finish(lost_outcome(m_order.request, "the stream broke off"));
            return;
        }
        pause_and_resume();
    }

    void pause_and_resume()
    {
        m_pause.expires_after(m_tools.options.resume_pause * (1U << (m_failures - 1)));
        m_pause.async_wait([self = shared_from_this()](const boost::system::error_code& /*ec*/)
                           { self->resume(); });
    }

    /// The engine ends the stream, and the stream's end says whether the answer came first.
    void ask_to_cancel()
    {
        m_cancelled = true;
        m_pause.cancel();
        auto self = shared_from_this();
        m_tools.client.send({.address = m_tools.options.address,
                             .method = "DELETE",
                             .target = stream_target(),
                             .timeout = m_tools.options.control_timeout},
                            [self](const http_client_reply& reply)
                            {
                                if (!is_success(reply.status))
                                {
                                    boost::asio::post(self->m_strand, [self] { self->hang_up(); });
                                }
                            });
    }

    void hang_up()
    {
        if (m_stream)
        {
            m_stream->cancel();
        }
    }

    void finish(call_outcome outcome)
    {
        if (!m_finished)
        {
            m_finished = true;
            m_tools.tell(engine_finished{.call = m_order.call, .outcome = std::move(outcome)});
        }
    }

    backend_tools m_tools;
    engine_start m_order;
    std::string m_name;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_pause;
    std::shared_ptr<http_stream> m_stream;
    std::optional<sse_parser> m_parser;
    /// The number of the event that comes next.
    std::uint64_t m_next = 0;
    /// Breaks since the last token.
    std::uint32_t m_failures = 0;
    bool m_resumed = false;
    bool m_cancelled = false;
    bool m_finished = false;
    std::string m_text;
    std::optional<call_outcome> m_outcome;
};

} // namespace

std::shared_ptr<backend_call> make_model_call(backend_tools tools, engine_start order)
{
    return std::make_shared<model_call>(std::move(tools), std::move(order));
}

} // namespace masticcourse::detail
