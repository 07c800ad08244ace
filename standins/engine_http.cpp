#include "engine_http.hpp"

#include "cache_events.hpp"
#include "engine_streams.hpp"
#include "masticcourse/net/percent.hpp"
#include "routes.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticcourse::standins
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

std::optional<std::uint64_t> parse_uint64(const std::optional<std::string>& text)
{
    std::uint64_t n = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), n).ec != std::errc{})
    {
        return std::nullopt;
    }
    return n;
}

std::string listing_json(const std::vector<cached_program>& listing)
{
    json list = json::array();
    for (const auto& it : listing)
    {
        list.push_back({{"program", it.program.value}, {"tokens", it.tokens}});
    }
    return list.dump();
}

std::string load_json(const engine_load& load)
{
    return json{{"queued", load.queued},
                {"running", load.running},
                {"pending_prefill", load.pending_prefill},
                {"pending_decode", load.pending_decode},
                {"cache_used", load.cache_used},
                {"cache_capacity", load.cache_capacity}}
        .dump();
}

/// Parses the body of `POST /v1/completions`.
/// @throws nlohmann::json::exception if the body is malformed
engine_request parse_completion_request(const json& body)
{
    engine_request request{.stream = {body.at("stream_id").get<std::string>()},
                           .program = {body.at("program").get<std::string>()},
                           .prompt = body.at("prompt").get<std::vector<std::string>>(),
                           .max_tokens = body.at("max_tokens").get<token_count>()};
    const auto max_length = static_cast<std::uint64_t>(std::max<token_count>(request.max_tokens, 1));
    const auto default_length = static_cast<token_count>(1 + compute_prefix_key(request.prompt) % max_length);
    request.answer_tokens = body.value("answer_tokens", default_length);
    return request;
}

} // namespace

class engine_http::state : public std::enable_shared_from_this<state>
{
  public:
    using exchange_ptr = std::shared_ptr<http_exchange>;

    state(boost::asio::io_context& context, const engine_http_options& options)
        : m_options(options), m_engine(options.engine), m_events(options.event_delay, options.event_gap),
          m_step_timer(context), m_load_timer(context), m_reported_load(m_engine.load())
    {
    }

    void start()
    {
        schedule_load_refresh();
    }

    void stop()
    {
        m_step_timer.cancel();
        m_load_timer.cancel();
        m_stopped = true;
    }

    void handle(const http_request& request, exchange_ptr exchange)
    {
        const auto path = path_segments(request.target);
        if (path == std::vector<std::string>{"faults"})
        {
            handle_faults(request, *exchange);
            return;
        }
        if (m_hanging)
        {
            m_unanswered.push_back(std::move(exchange));
            return;
        }
        advance_engine();
        if (path.size() < 2 || path[0] != "v1")
        {
            exchange->respond(json_error(status_not_found, "unknown path"));
            return;
        }
        route(request, path, std::move(exchange));
        schedule_step();
    }

  private:
    void route(const http_request& request, const std::vector<std::string>& path, exchange_ptr exchange)
    {
        const std::string& resource = path[1];
        if (resource == "completions")
        {
            handle_completion(request, std::move(exchange));
        }
        else if (resource == "streams" && path.size() == 3)
        {
            handle_stream(request, {path[2]}, std::move(exchange));
        }
        else if (resource == "cache")
        {
            handle_cache(request, path, *exchange);
        }
        else if (resource == "load")
        {
            exchange->respond(json_response(status_ok, load_json(m_reported_load)));
        }
        else if (resource == "orders")
        {
            handle_order(request, *exchange);
        }
        else
        {
            exchange->respond(json_error(status_not_found, "unknown path"));
        }
    }

    void handle_completion(const http_request& request, exchange_ptr exchange)
    {
        const json body = json::parse(request.body, nullptr, false);
        engine_request completion;
        try
        {
            completion = parse_completion_request(body);
        }
        catch (const json::exception& e)
        {
            exchange->respond(json_error(status_bad_request, e.what()));
            return;
        }
        if (!accept_fencing_number(completion.program.value, body.value("order", std::uint64_t{0})))
        {
            exchange->respond(json_error(status_conflict, "order is too old"));
            return;
        }
        if (!m_streams.create(completion.stream))
        {
            exchange->respond(json_error(status_conflict, "there is such a stream"));
            return;
        }
        m_streams.subscribe(completion.stream, std::nullopt, std::move(exchange));
        m_engine.start(std::move(completion), now());
    }

    void handle_stream(const http_request& request, const stream_id& id, exchange_ptr exchange)
    {
        if (!m_streams.contains(id))
        {
            exchange->respond(json_error(status_not_found, "no such stream"));
            return;
        }
        if (request.method == "DELETE")
        {
            m_engine.cancel(id, now());
            m_streams.finish(id, {}, "cancelled");
            exchange->respond(json_response(status_ok, "{}"));
            return;
        }
        m_streams.subscribe(id, parse_uint64(request.header("Last-Event-ID")), std::move(exchange));
    }

    void handle_cache(const http_request& request, const std::vector<std::string>& path,
                      http_exchange& exchange)
    {
        if (path.size() == 2)
        {
            exchange.respond(json_response(status_ok, listing_json(m_engine.cached_programs())));
        }
        else if (path.size() == 3 && path[2] == "events")
        {
            handle_cache_events(request, exchange);
        }
        else if (path.size() == 3 && request.method == "DELETE")
        {
            m_engine.free_program({path[2]});
            exchange.respond(json_response(status_ok, "{}"));
        }
        else if (path.size() == 4 && path[3] == "kv")
        {
            handle_prefix_transfer(request, {path[2]}, exchange);
        }
        else
        {
            exchange.respond(json_error(status_not_found, "unknown path"));
        }
    }

    void handle_prefix_transfer(const http_request& request, const program_id& program,
                                http_exchange& exchange)
    {
        if (request.method == "GET")
        {
            exchange.respond(
                {.content_type = "application/octet-stream", .body = m_engine.export_prefix(program)});
            return;
        }
        const bool all_inserted = m_engine.import_prefix(program, request.body, now());
        exchange.respond(json_response(status_ok, json{{"whole", all_inserted}}.dump()));
    }

    void handle_cache_events(const http_request& request, http_exchange& exchange)
    {
        const auto after = query_value(split_target(request.target).query, "after");
        json list = json::array();
        for (const auto& it : m_events.visible_events(parse_uint64(after).value_or(0), now()))
        {
            list.push_back({{"number", it.number}, {"program", it.program.value}, {"tokens", it.tokens}});
        }
        exchange.respond(json_response(status_ok, list.dump()));
    }

    void handle_order(const http_request& request, http_exchange& exchange)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("order"))
        {
            exchange.respond(json_error(status_bad_request, "no order"));
            return;
        }
        const std::string order = body["order"].dump();
        if (!accept_fencing_number("order", body.value("fencing", std::uint64_t{0})))
        {
            exchange.respond(json_error(status_conflict, "order is too old"));
            return;
        }
        exchange.respond(json_response(status_ok, json{{"taken", order}}.dump()));
    }

    void handle_faults(const http_request& request, http_exchange& exchange)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
        {
            exchange.respond(json_error(status_bad_request, "no faults"));
            return;
        }
        if (body.value("die", false))
        {
            std::_Exit(EXIT_FAILURE);
        }
        advance_engine();
        m_engine.set_slowdown(body.value("slow", 1.0));
        m_streams.drop_after(body.value("drop_after", std::uint64_t{0}), body.value("drops", 0U));
        m_hanging = body.value("hang", false);
        exchange.respond(json_response(status_ok, "{}"));
        schedule_step();
    }

    /// @return whether an order with this fencing number is accepted
    bool accept_fencing_number(const std::string& scope, std::uint64_t fencing_number)
    {
        std::uint64_t& highest = m_highest_fencing[scope];
        const bool stale = fencing_number < highest;
        highest = std::max(highest, fencing_number);
        return !stale || !m_options.check_fencing;
    }

    [[nodiscard]] core_time now() const
    {
        const auto elapsed = std::chrono::steady_clock::now() - m_start;
        return core_time{std::chrono::duration_cast<core_duration>(elapsed)};
    }

    /// Advances the engine to the current time and forwards its events to the streams.
    void advance_engine()
    {
        for (const auto& event : m_engine.advance(now()))
        {
            std::visit([this](const auto& it) { deliver_event(it); }, event);
        }
    }

    void deliver_event(const token_event& event)
    {
        m_streams.add_token(event);
    }

    void deliver_event(const finished_event& event)
    {
        m_streams.finish(event.stream, event.usage, event.too_long ? "too_long" : "stop");
    }

    void schedule_step()
    {
        const auto next = m_engine.next_event_time();
        if (!next || m_hanging || m_stopped)
        {
            m_step_timer.cancel();
            return;
        }
        m_step_timer.expires_at(m_start + next->time_since_epoch());
        m_step_timer.async_wait(
            [self = shared_from_this()](const boost::system::error_code& ec)
            {
                if (!ec && !self->m_hanging)
                {
                    self->advance_engine();
                    self->schedule_step();
                }
            });
    }

    /// Refreshes the reported load and the cache events periodically, at the configured lag.
    void schedule_load_refresh()
    {
        m_load_timer.expires_after(m_options.load_lag);
        m_load_timer.async_wait(
            [self = shared_from_this()](const boost::system::error_code& ec)
            {
                if (!ec && !self->m_stopped)
                {
                    self->m_reported_load = self->m_engine.load();
                    self->m_events.observe(self->m_engine.cached_programs(), self->now());
                    self->schedule_load_refresh();
                }
            });
    }

    engine_http_options m_options;
    engine_model m_engine;
    engine_streams m_streams;
    cache_events m_events;
    boost::asio::steady_timer m_step_timer;
    boost::asio::steady_timer m_load_timer;
    engine_load m_reported_load;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    std::map<std::string, std::uint64_t> m_highest_fencing;
    bool m_hanging = false;
    bool m_stopped = false;
    /// Requests received while the engine was hanging; they are never answered.
    std::vector<exchange_ptr> m_unanswered;
};

engine_http::engine_http(boost::asio::io_context& context, const engine_http_options& options)
    : m_state(std::make_shared<state>(context, options))
{
    m_state->start();
}

engine_http::~engine_http()
{
    m_state->stop();
}

void engine_http::handle(const http_request& request, std::shared_ptr<http_exchange> exchange)
{
    m_state->handle(request, std::move(exchange));
}

} // namespace masticcourse::standins
