#include "masticcourse/control/target_backend.hpp"

#include "backend_call.hpp"
#include "masticcourse/net/http_client.hpp"
#include "masticcourse/net/percent.hpp"
#include "model_call.hpp"
#include "service_call.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace masticcourse
{

namespace
{

using nlohmann::json;

std::optional<engine_listing> listing_of(const std::string& body)
{
    const json list = json::parse(body, nullptr, false);
    if (!list.is_array())
    {
        return std::nullopt;
    }
    engine_listing listing;
    for (const auto& it : list)
    {
        listing.programs.push_back(
            {.program = {it.value("program", std::string{})}, .tokens = it.value("tokens", token_count{0})});
    }
    return listing;
}

std::optional<engine_memory> memory_of(const std::string& body)
{
    const json load = json::parse(body, nullptr, false);
    if (!load.is_object())
    {
        return std::nullopt;
    }
    return engine_memory{.used = load.value("cache_used", token_count{0}),
                         .capacity = load.value("cache_capacity", token_count{0})};
}

} // namespace

class target_backend::state : public std::enable_shared_from_this<state>
{
  public:
    state(boost::asio::io_context& context, target_backend_options options, target_input_callback on_input)
        : m_context(context), m_options(std::move(options)), m_on_input(std::move(on_input)),
          m_client(context)
    {
    }

    void start(engine_start order)
    {
        const call_ref ref = order.call;
        const auto call = make_call(std::move(order));
        {
            const std::scoped_lock lock{m_mutex};
            m_calls[ref] = call;
        }
        call->start();
    }

    void cancel(const call_ref& ref)
    {
        std::shared_ptr<detail::backend_call> call;
        {
            const std::scoped_lock lock{m_mutex};
            const auto it = m_calls.find(ref);
            call = it == m_calls.end() ? nullptr : it->second;
        }
        if (call)
        {
            call->cancel();
        }
    }

    void free(const program_id& program)
    {
        // What is not freed for want of an answer is found in the next listing.
        m_client.send({.address = m_options.address,
                       .method = "DELETE",
                       .target = "/v1/cache/" + percent_encode(program.value),
                       .timeout = m_options.control_timeout},
                      [](const http_client_reply& /*reply*/) {});
    }

    void list()
    {
        get("/v1/cache", listing_of);
        get("/v1/load", memory_of);
    }

    void stop()
    {
        m_stopped = true;
    }

  private:
    std::shared_ptr<detail::backend_call> make_call(engine_start order)
    {
        detail::backend_tools tools{.context = m_context,
                                    .client = m_client,
                                    .options = m_options,
                                    .tell = [self = shared_from_this()](target_input input)
                                    { self->tell(std::move(input)); },
                                    .run = ++m_runs};
        return m_options.kind == call_kind::model
                   ? detail::make_model_call(std::move(tools), std::move(order))
                   : detail::make_service_call(std::move(tools), std::move(order));
    }

    void tell(target_input input)
    {
        if (const auto* finished = std::get_if<engine_finished>(&input))
        {
            const std::scoped_lock lock{m_mutex};
            m_calls.erase(finished->call);
        }
        if (!m_stopped)
        {
            m_on_input(std::move(input));
        }
    }

    /// Reads a document and tells what @a parse makes of it, if anything.
    template <typename Parse>
    void get(const std::string& target, Parse parse)
    {
        m_client.send({.address = m_options.address, .target = target, .timeout = m_options.control_timeout},
                      [self = shared_from_this(), parse](const http_client_reply& reply)
                      {
                          const auto parsed =
                              detail::is_success(reply.status) ? parse(reply.body) : std::nullopt;
                          if (parsed)
                          {
                              self->tell(*parsed);
                          }
                      });
    }

    boost::asio::io_context& m_context;
    target_backend_options m_options;
    target_input_callback m_on_input;
    http_client m_client;
    std::atomic<bool> m_stopped = false;
    std::atomic<std::uint64_t> m_runs = 0;
    std::mutex m_mutex;
    std::map<call_ref, std::shared_ptr<detail::backend_call>> m_calls;
};

target_backend::target_backend(boost::asio::io_context& context, target_backend_options options,
                               target_input_callback on_input)
    : m_state(std::make_shared<state>(context, std::move(options), std::move(on_input)))
{
}

target_backend::~target_backend()
{
    m_state->stop();
}

void target_backend::start(engine_start order)
{
    m_state->start(std::move(order));
}

void target_backend::cancel(const engine_cancel& order)
{
    m_state->cancel(order.call);
}

void target_backend::free(const engine_free& order)
{
    m_state->free(order.program);
}

void target_backend::list()
{
    m_state->list();
}

} // namespace masticcourse
