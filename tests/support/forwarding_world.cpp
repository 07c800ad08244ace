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

class recording_exchange final : public http_exchange
{
  public:
    explicit recording_exchange(std::shared_ptr<caller_view> view) : m_view(std::move(view)) {}
    recording_exchange(const recording_exchange&) = delete;
    recording_exchange(recording_exchange&&) = delete;
    recording_exchange& operator=(const recording_exchange&) = delete;
    recording_exchange& operator=(recording_exchange&&) = delete;
    ~recording_exchange() override
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
    void begin_body(int status, std::vector<http_header> /*headers*/,
                    std::optional<std::uint64_t> length) override
    {
        m_view->stream_status = status;
        m_view->stated_length = length;
    }
    void write(std::string chunk) override
    {
        m_view->text += chunk;
    }
    void on_written(std::function<void(std::size_t)> callback) override
    {
        m_view->on_written = std::move(callback);
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

class upstream_stream final : public http_stream
{
  public:
    explicit upstream_stream(upstream_request_ptr sent) : m_request(std::move(sent)) {}
    void cancel() override
    {
        m_request->cancelled = true;
    }
    void pause() override
    {
        m_request->paused = true;
    }
    void resume() override
    {
        m_request->paused = false;
    }

  private:
    upstream_request_ptr m_request;
};

gateway::gateway_config make_config()
{
    const auto make_route = [](const std::string& name, request_kind kind)
    {
        return route{.name = name,
                     .host = "host",
                     .prefix = "/" + name + "/",
                     .kind = kind,
                     .timeout = 3s,
                     .services = {{{"s"}, 1}},
                     .max_attempts = 2};
    };
    gateway::gateway_config config{.version = 1,
                                   .routes = {make_route("lookup", request_kind::idempotent),
                                              make_route("order", request_kind::non_idempotent),
                                              make_route("stream", request_kind::stream),
                                              make_route("turn", request_kind::stream),
                                              make_route("plan", request_kind::stream)},
                                   .services = {{.name = {"s"}, .engine = gateway::engine_traits{10}}}};
    config.routes[3].retention = gateway::seconds{60};
    config.routes[4].resumable = true;
    config.routes[4].event_gap = 200ms;
    return config;
}

/// Decodes the time factor that a target reports; the fixture's targets report nothing else.
std::optional<gateway::target_load_report> decode_load(const http_client_reply& reply)
{
    const auto factor = reply.header("time-factor");
    return factor ? std::optional{gateway::target_load_report{.time_factor = std::stod(*factor)}}
                  : std::nullopt;
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

void upstream_request::begin(int status, bool marked, std::optional<std::uint64_t> length) const
{
    begun = true;
    auto reply = head_of(status, marked);
    reply.stated_length = length;
    request.on_head(reply);
}

void upstream_request::event(const std::string& data) const
{
    on_chunk(format_sse({.data = data}));
}

void upstream_request::event(int id, const std::string& data) const
{
    on_chunk(format_sse({.id = std::to_string(id), .data = data}));
}

void upstream_request::end(int status, bool marked, const std::string& body)
{
    auto reply = head_of(status, marked);
    if (!begun)
    {
        request.on_head(reply);
    }
    reply.body = body;
    std::exchange(on_reply, nullptr)(std::move(reply));
}

void upstream_request::refuse()
{
    http_client_reply reply{.status = 503, .headers = {{"not-run", "1"}}};
    request.on_head(reply);
    std::exchange(on_reply, nullptr)(std::move(reply));
}

void upstream_request::misdirect()
{
    http_client_reply reply{.status = 421, .headers = {{"not-run", "1"}}};
    request.on_head(reply);
    std::exchange(on_reply, nullptr)(std::move(reply));
}

void upstream_request::fail(http_failure failure, http_send_report report)
{
    std::exchange(on_reply, nullptr)({.failure = failure, .send_report = report});
}

std::variant<gateway::gateway_request, gateway::refusal> stub_protocol::decode(http_request /*request*/) const
{
    return gateway::refusal{};
}

http_client_request stub_protocol::encode(const gateway::gateway_request& request, std::string body,
                                          const gateway::target_record& target,
                                          gateway::milliseconds time_left) const
{
    http_client_request out{.address = target.id.value,
                            .method = request.method,
                            .target = request.target,
                            .body = std::move(body),
                            .headers = {{"left", std::to_string(time_left.count())}}};
    if (request.last_event_id)
    {
        out.headers.push_back({"after", *request.last_event_id});
    }
    return out;
}

gateway::target_response_head stub_protocol::decode(const http_client_reply& reply) const
{
    return {.status = reply.status,
            .not_executed = reply.header("not-run").has_value(),
            .instance_replaced = reply.status == 421,
            .authentic = reply.header("mark").has_value(),
            .load = decode_load(reply)};
}

bool stub_protocol::is_response_to(const http_client_reply& /*reply*/,
                                   const gateway::request_id& /*id*/) const
{
    return true;
}

http_response stub_protocol::encode(const gateway::refusal& refusal) const
{
    http_response response{.status = refusal.ran == ran_state::no ? 503 : 502,
                           .body = std::string{to_string(refusal.reason)}};
    if (refusal.retry_after)
    {
        response.headers.push_back({"retry-after", std::to_string(refusal.retry_after->count())});
    }
    return response;
}

forwarding_gateway::forwarding_gateway(virtual_time& site_time, row_table& site_rows, site_member member,
                                       gateway::scheduling_options scheduling)
    : time(site_time), rows(site_rows), self(std::move(member)), scheduler({.options = scheduling,
                                                                            .targets = targets,
                                                                            .peers = peers,
                                                                            .send_digest = nullptr,
                                                                            .delay = time.delays(),
                                                                            .clock = time.clock(),
                                                                            .seed = seed,
                                                                            .self = self.address,
                                                                            .incarnation = self.incarnation,
                                                                            .metrics = metrics}),
      config(std::make_shared<const gateway::gateway_config>(make_config())),
      services{
          .open_stream =
              [this](http_client_request request, http_chunk_callback on_chunk, http_reply_callback on_reply)
          {
              auto it = std::make_shared<upstream_request>(
                  upstream_request{std::move(request), std::move(on_chunk), std::move(on_reply)});
              sent.push_back(it);
              return std::make_shared<upstream_stream>(it);
          },
          .check_target = [this](const std::string&, const server_check_callback& on_result)
          { on_result(checked_state); },
          .protocol = protocol,
          .targets = targets,
          .scheduler = scheduler,
          .poison = poison,
          .suspicions = suspicions,
          .spending = spending,
          .turns = turns,
          .overdrafts = overdrafts,
          .quotas = quotas,
          .shutdown = shutdown,
          .store = store,
          .tables = {.age = [] { return gateway::duration{}; },
                     .currency = [this] { return currency; },
                     .refresh =
                         [this](const auto& on_done)
                     {
                         ++refreshes;
                         time.delays()(refresh_time, on_done);
                     }},
          .start_timer = time.timers(),
          .clock = time.clock(),
          .metrics = metrics,
          .memory = memory,
          .shares = shares}
{
    for (const auto* id : {"t0", "t1", "t2"})
    {
        targets.put({.id = {id}, .service = {"s"}, .address = id, .slots = 4});
    }
    scheduler.set_config(config);
}

gateway::gateway_request forwarding_gateway::make_request(const std::string& route,
                                                          const std::string& id) const
{
    return {.id = {id},
            .method = "POST",
            .target = "/" + route + "/1?q",
            .host = "host",
            .body = "body of " + id + ";",
            .timeout = 2s};
}

gateway::gateway_request forwarding_gateway::make_budgeted_request(const std::string& route,
                                                                   const std::string& id,
                                                                   token_count budget) const
{
    auto request = make_request(route, id);
    request.program = gateway::program_context{.program = {"p"}, .budget = budget, .max_tokens = 100};
    return request;
}

gateway::gateway_request forwarding_gateway::make_turn_request(const std::string& id,
                                                               const std::string& previous,
                                                               token_count budget) const
{
    auto request = make_budgeted_request("turn", id, budget);
    if (!previous.empty())
    {
        request.program->previous_turn = gateway::request_id{previous};
    }
    return request;
}

std::shared_ptr<caller_view> forwarding_gateway::send(gateway::gateway_request request)
{
    auto view = std::make_shared<caller_view>();
    last_request = gateway::forward_request(
        services, config, std::move(request), std::make_shared<recording_exchange>(view),
        [this](gateway::request_outcome outcome) { outcomes.push_back(outcome); });
    return view;
}

void forwarding_gateway::end_for_shutdown() const
{
    if (const auto request = last_request.lock())
    {
        request->end_for_shutdown();
    }
}

upstream_request_ptr forwarding_gateway::last() const
{
    REQUIRE_FALSE(sent.empty());
    return sent.back();
}

std::shared_ptr<caller_view> forwarding_gateway::complete_turn(const std::string& id,
                                                               const std::string& previous,
                                                               const std::vector<std::string>& events)
{
    auto view = send(make_turn_request(id, previous));
    time.run(100ms);
    const auto target = last();
    target->begin(200);
    std::ranges::for_each(events, [&](const auto& it) { target->event(it); });
    target->end(200);
    time.run(100ms);
    return view;
}

} // namespace masticcourse::testing
