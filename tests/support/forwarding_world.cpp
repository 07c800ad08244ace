#include "support/forwarding_world.hpp"

#include "masticcourse/net/sse.hpp"

#include <algorithm>
#include <doctest/doctest.h>

#include <utility>

namespace masticcourse::testing
{

namespace
{

using gateway::request_kind;
using gateway::route;
using namespace std::chrono_literals;

class viewed_exchange final : public http_exchange
{
  public:
    explicit viewed_exchange(std::shared_ptr<caller_view> view) : m_view(std::move(view)) {}
    viewed_exchange(const viewed_exchange&) = delete;
    viewed_exchange(viewed_exchange&&) = delete;
    viewed_exchange& operator=(const viewed_exchange&) = delete;
    viewed_exchange& operator=(viewed_exchange&&) = delete;
    ~viewed_exchange() override
    {
        m_view->closed = !m_view->ended;
    }

    void respond(http_response response) override
    {
        m_view->response = std::move(response);
        m_view->ended = true;
    }
    void begin_stream(int status, std::vector<http_header> /*headers*/) override
    {
        m_view->stream_status = status;
    }
    void write(std::string chunk) override
    {
        m_view->text += chunk;
    }
    void end_stream() override
    {
        m_view->ended = true;
    }
    void on_closed(std::function<void()> callback) override
    {
        m_view->on_closed = std::move(callback);
    }

  private:
    std::shared_ptr<caller_view> m_view;
};

class sent_handle final : public http_stream
{
  public:
    explicit sent_handle(sent_ptr sent) : m_sent(std::move(sent)) {}
    void cancel() override
    {
        m_sent->cancelled = true;
    }

  private:
    sent_ptr m_sent;
};

gateway::gateway_config make_config()
{
    const auto make = [](const std::string& name, request_kind kind)
    {
        return route{.name = name,
                     .host = "host",
                     .prefix = "/" + name + "/",
                     .kind = kind,
                     .timeout = 3s,
                     .services = {{{"s"}, 1}},
                     .max_attempts = 2};
    };
    gateway::gateway_config config{
        .version = 1,
        .routes = {make("lookup", request_kind::idempotent), make("order", request_kind::non_idempotent),
                   make("stream", request_kind::stream), make("turn", request_kind::stream),
                   make("plan", request_kind::stream)},
        .services = {{.name = {"s"}, .engine = gateway::engine_traits{10}}}};
    config.routes[3].retention = gateway::seconds{60};
    config.routes[4].resumable = true;
    config.routes[4].event_gap = 200ms;
    return config;
}

http_client_reply head_of(int status, bool marked)
{
    http_client_reply reply{.status = status};
    if (marked)
    {
        reply.headers.push_back({"mark", "m"});
    }
    return reply;
}

} // namespace

std::string body_of(const caller_view& view)
{
    return view.response ? view.response->body : "(no answer)";
}

void sent_request::begin(int status, bool marked) const
{
    request.on_head(head_of(status, marked));
}

void sent_request::event(const std::string& data) const
{
    on_chunk(format_sse({.data = data}));
}

void sent_request::event(int id, const std::string& data) const
{
    on_chunk(format_sse({.id = std::to_string(id), .data = data}));
}

void sent_request::end(int status, bool marked, const std::string& body)
{
    auto reply = head_of(status, marked);
    if (!on_chunk || status / 100 != 2)
    {
        request.on_head(reply);
    }
    reply.body = body;
    std::exchange(on_reply, nullptr)(std::move(reply));
}

void sent_request::refuse()
{
    http_client_reply reply{.status = 503, .headers = {{"not-run", "1"}}};
    request.on_head(reply);
    std::exchange(on_reply, nullptr)(std::move(reply));
}

void sent_request::misdirect()
{
    http_client_reply reply{.status = 421, .headers = {{"not-run", "1"}}};
    request.on_head(reply);
    std::exchange(on_reply, nullptr)(std::move(reply));
}

void sent_request::fail(http_failure failure)
{
    std::exchange(on_reply, nullptr)({.failure = failure});
}

std::variant<gateway::gateway_request, gateway::refusal>
plain_protocol::decode(http_request /*request*/) const
{
    return gateway::refusal{};
}

http_client_request plain_protocol::encode(const gateway::gateway_request& request, std::string body,
                                           const gateway::target_record& target,
                                           gateway::milliseconds time_left) const
{
    http_client_request out{.address = target.id.value,
                            .method = request.method,
                            .target = request.target,
                            .body = std::move(body),
                            .headers = {{"left", std::to_string(time_left.count())}}};
    if (request.after_event)
    {
        out.headers.push_back({"after", *request.after_event});
    }
    return out;
}

gateway::target_answer plain_protocol::decode(const http_client_reply& reply) const
{
    return {.status = reply.status,
            .not_run = reply.header("not-run").has_value(),
            .other_life = reply.status == 421,
            .authentic = reply.header("mark").has_value()};
}

bool plain_protocol::answers(const http_client_reply& /*reply*/, const gateway::request_id& /*id*/) const
{
    return true;
}

http_response plain_protocol::encode(const gateway::refusal& refusal) const
{
    http_response response{.status = refusal.ran == ran_state::no ? 503 : 502,
                           .body = std::string{to_string(refusal.reason)}};
    if (refusal.retry_after)
    {
        response.headers.push_back({"retry-after", std::to_string(refusal.retry_after->count())});
    }
    return response;
}

forwarding_world::forwarding_world()
    : config(std::make_shared<const gateway::gateway_config>(make_config())),
      services{
          .open =
              [this](http_client_request request, http_chunk_callback on_chunk, http_reply_callback on_reply)
          {
              auto it = std::make_shared<sent_request>(
                  sent_request{std::move(request), std::move(on_chunk), std::move(on_reply)});
              sent.push_back(it);
              return std::make_shared<sent_handle>(it);
          },
          .protocol = protocol,
          .targets = targets,
          .spending = spending,
          .turns = turns,
          .overdrafts = overdrafts,
          .quotas = quotas,
          .store = store,
          .delay = time.delays(),
          .clock = time.clock()}
{
    for (const auto* id : {"t0", "t1", "t2"})
    {
        targets.put({.id = {id}, .service = {"s"}, .address = id, .slots = 4});
    }
}

gateway::gateway_request forwarding_world::make(const std::string& route, const std::string& id) const
{
    return {.id = {id},
            .method = "POST",
            .target = "/" + route + "/1?q",
            .host = "host",
            .body = "body of " + id + ";",
            .patience = 2s};
}

gateway::gateway_request forwarding_world::make_budgeted(const std::string& route, const std::string& id,
                                                         token_count budget) const
{
    auto request = make(route, id);
    request.program = gateway::program_claim{.program = {"p"}, .budget = budget, .most_tokens = 100};
    return request;
}

gateway::gateway_request forwarding_world::make_turn(const std::string& id, const std::string& previous,
                                                     token_count budget) const
{
    auto request = make_budgeted("turn", id, budget);
    if (!previous.empty())
    {
        request.program->previous = gateway::request_id{previous};
    }
    return request;
}

std::shared_ptr<caller_view> forwarding_world::send(gateway::gateway_request request)
{
    auto view = std::make_shared<caller_view>();
    gateway::forward_request(services, config, std::move(request), std::make_shared<viewed_exchange>(view),
                             [this](gateway::request_end end) { ends.push_back(end); });
    return view;
}

sent_ptr forwarding_world::last() const
{
    REQUIRE_FALSE(sent.empty());
    return sent.back();
}

std::shared_ptr<caller_view> forwarding_world::play_turn(const std::string& id, const std::string& previous,
                                                         const std::vector<std::string>& events)
{
    auto view = send(make_turn(id, previous));
    time.run(100ms);
    const auto target = last();
    target->begin(200);
    std::ranges::for_each(events, [&](const auto& it) { target->event(it); });
    target->end(200);
    time.run(100ms);
    return view;
}

} // namespace masticcourse::testing
