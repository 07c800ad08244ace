#include "service_call.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <utility>

namespace masticcourse::detail
{

namespace
{

using nlohmann::json;

std::string body_of(const engine_start& order)
{
    return json{{"key", order.call.key.value},
                {"program", order.call.program.value},
                {"input", order.request.input},
                {"idempotent", order.request.idempotent},
                {"order", order.order}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

call_outcome outcome_of(const call_request& request, const std::string& body, body_framing framing)
{
    const json answer = json::parse(body, nullptr, false);
    if (answer.is_discarded() && framing == body_framing::until_close)
    {
        return lost_outcome(request, "the answer broke off");
    }
    if (answer.is_object() && answer.contains("output") && answer["output"].is_string())
    {
        return {.output = answer["output"].get<std::string>()};
    }
    return {.error = {.id = problem_id::target_failed,
                      .ran = ran_state::yes,
                      .detail = "the target's answer can't be read"}};
}

/// All members run on the strand.
class service_call final : public backend_call, public std::enable_shared_from_this<service_call>
{
  public:
    service_call(backend_tools tools, engine_start order)
        : m_tools(std::move(tools)), m_order(std::move(order)), m_strand(m_tools.context.get_executor())
    {
    }

    void start() override
    {
        boost::asio::post(m_strand, [self = shared_from_this()] { self->send(); });
    }

    void cancel() override
    {
        boost::asio::post(m_strand,
                          [self = shared_from_this()]
                          {
                              if (self->m_stream)
                              {
                                  self->m_stream->cancel();
                              }
                          });
    }

  private:
    void send()
    {
        http_client_request request{.address = m_tools.options.address,
                                    .method = "POST",
                                    .target = "/v1/invoke",
                                    .body = body_of(m_order),
                                    .headers = {{"Content-Type", "application/json"}},
                                    .timeout = m_tools.options.longest_silence};
        auto self = shared_from_this();
        m_stream = m_tools.client.open_stream(
            std::move(request),
            [self](std::string_view chunk) {
                boost::asio::post(self->m_strand,
                                  [self, text = std::string{chunk}] { self->m_body += text; });
            },
            [self](http_client_reply reply)
            { boost::asio::post(self->m_strand, [self, reply = std::move(reply)] { self->end(reply); }); });
    }

    void end(const http_client_reply& reply)
    {
        m_stream.reset();
        const bool whole = reply.failure == http_failure::none && is_success(reply.status);
        const bool broken_answer = reply.failure != http_failure::none && is_success(reply.status);
        call_outcome outcome;
        if (whole)
        {
            outcome = outcome_of(m_order.request, m_body, reply.body_report.framing);
        }
        else if (broken_answer)
        {
            outcome = lost_outcome(m_order.request, "the answer broke off");
        }
        else
        {
            outcome = failure_of(m_order.request, reply);
        }
        m_tools.tell(engine_finished{.call = m_order.call, .outcome = std::move(outcome)});
    }

    backend_tools m_tools;
    engine_start m_order;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    std::shared_ptr<http_stream> m_stream;
    std::string m_body;
};

} // namespace

std::shared_ptr<backend_call> make_service_call(backend_tools tools, engine_start order)
{
    return std::make_shared<service_call>(std::move(tools), std::move(order));
}

} // namespace masticcourse::detail
