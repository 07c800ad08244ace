#include "masticcourse/daemon/target_daemon.hpp"

#include "incarnation.hpp"
#include "known_processes.hpp"

#include "masticcourse/control/target_backend.hpp"
#include "masticcourse/control/target_core.hpp"
#include "masticcourse/daemon/control_loop.hpp"
#include "masticcourse/daemon/observer.hpp"
#include "masticcourse/daemon/peer_hub.hpp"
#include "masticcourse/daemon/traffic.hpp"
#include "masticcourse/net/http_client.hpp"
#include "masticcourse/net/http_server.hpp"
#include "masticcourse/net/percent.hpp"
#include "masticcourse/store/store_client.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>
#include <utility>
#include <variant>

namespace masticcourse
{

namespace
{

constexpr auto vm_list_period = std::chrono::seconds{1};
constexpr auto last_answers = std::chrono::milliseconds{100};
constexpr int status_unavailable = 503;

call_kind kind_of(const deployment_settings& settings, const service_name& name)
{
    const auto it = std::ranges::find(settings.services, name, &service_settings::name);
    return it != settings.services.end() ? it->kind : call_kind::model;
}

target_options options_of(const deployment_settings& settings, const target_settings& self)
{
    target_options options{.name = self.name,
                           .incarnation = new_incarnation(self.name),
                           .address = self.peer_address,
                           .region = self.region,
                           .domain = self.failure_domain,
                           .service = self.service,
                           .kind = kind_of(settings, self.service),
                           .target_checks_fencing = self.checks_fencing,
                           .max_running = self.max_running,
                           .cache_capacity = self.cache_capacity};
    options.max_queue = self.max_queue;
    options.heartbeat_period = settings.limits.heartbeat_period;
    options.peer_timeout = settings.limits.peer_timeout;
    options.first_lease = settings.limits.lease;
    options.drain_timeout = settings.limits.drain_wait;
    return options;
}

target_backend_options backend_of(const target_options& options, const target_settings& self)
{
    return {.address = self.backend_address, .kind = options.kind, .incarnation = options.incarnation};
}

} // namespace

class target_daemon::state
{
  public:
    state(const deployment_settings& settings, const target_settings& self, const target_options& options)
        : m_settings(settings), m_name(self.name), m_observer(self.name), m_client(m_traffic.context()),
          m_store(m_client, settings.platform.store_address),
          m_loop(
              target_core{options},
              [this](target_output output)
              { std::visit([this](auto& it) { perform(std::move(it)); }, output); },
              [this](const target_core& core) { publish(core.counts()); }),
          m_backend(m_traffic.context(), backend_of(options, self),
                    [this](target_input input) { m_loop.post(std::move(input)); }),
          m_hub(m_traffic.context(), self.peer_address, 1, m_observer.clock(),
                [this](peer_input input)
                { std::visit([this](auto& it) { m_loop.post(std::move(it)); }, input); }),
          m_server(m_traffic.context(), self.http_address, http_limits{},
                   [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange)
                   { take(request, *exchange); })
    {
    }

    void run()
    {
        m_observer.record({.id = event_id::process_started});
        m_traffic.on_stop_signal([this] { m_loop.post(stop_requested{}); });
        if (!m_settings.platform.vm_list_address.empty())
        {
            m_traffic.every(vm_list_period, [this] { read_vm_list(); });
        }
        m_traffic.start(m_settings.limits.traffic_threads);
        m_loop.run();
        m_server.stop_accepting();
        std::this_thread::sleep_for(last_answers);
        m_traffic.stop();
    }

  private:
    void read_vm_list()
    {
        fetch_vm_list(m_client, m_settings.platform,
                      [this](const std::vector<known_process>& processes)
                      {
                          const auto it = std::ranges::find(processes, m_name, &known_process::name);
                          if (it != processes.end() && it->leaving)
                          {
                              m_loop.post(marked_leaving{});
                          }
                      });
    }

    void take(const http_request& request, http_exchange& exchange)
    {
        if (m_observer.answer(request, exchange))
        {
            return;
        }
        if (split_target(request.target).path == "/readyz")
        {
            const bool ready = !m_leaving.load();
            exchange.respond({.status = ready ? http_response{}.status : status_unavailable,
                              .body = ready ? R"({"ready":true})" : R"({"ready":false})"});
            return;
        }
        exchange.respond(problem_response({problem_id::unknown_path, ran_state::no, "nothing is here"}));
    }

    void publish(const target_counts& counts)
    {
        m_leaving = counts.leaving;
        m_queued.set(static_cast<std::int64_t>(counts.queued));
        m_running.set(static_cast<std::int64_t>(counts.running));
        m_kept.set(static_cast<std::int64_t>(counts.kept));
        m_held.set(static_cast<std::int64_t>(counts.programs));
    }

    /// @name What the core wants done
    /// @{
    void perform(const send_peer& it)
    {
        m_hub.send(it);
    }

    void perform(const close_peer& it)
    {
        m_hub.close(it);
    }

    void perform(const run_store_op& it)
    {
        m_store.run(it.operation, m_settings.platform.store_timeout,
                    [this, id = it.id](store_reply reply) {
                        m_loop.post(store_done{id, std::move(reply)});
                    });
    }

    void perform(engine_start it)
    {
        m_backend.start(std::move(it));
    }

    void perform(const engine_cancel& it)
    {
        m_backend.cancel(it);
    }

    void perform(const engine_free& it)
    {
        m_backend.free(it);
    }

    void perform(const engine_list_request& /*it*/)
    {
        m_backend.list();
    }

    void perform(const trace_event& it)
    {
        m_observer.record(it);
    }

    void perform(const ready_to_stop& /*it*/)
    {
        m_loop.stop();
    }
    /// @}

    deployment_settings m_settings;
    process_name m_name;
    observer m_observer;
    gauge& m_queued = m_observer.metrics().get_gauge("masticcourse_queued", "Calls that wait.");
    gauge& m_running = m_observer.metrics().get_gauge("masticcourse_running", "Calls at the target.");
    gauge& m_kept = m_observer.metrics().get_gauge("masticcourse_results_kept", "Results not yet durable.");
    gauge& m_held = m_observer.metrics().get_gauge("masticcourse_programs_held", "Programs with a lease.");
    std::atomic<bool> m_leaving{false};
    traffic m_traffic;
    http_client m_client;
    store_client m_store;
    control_loop<target_core, target_input, target_output> m_loop;
    target_backend m_backend;
    peer_hub m_hub;
    http_server m_server;
};

target_daemon::target_daemon(const deployment_settings& settings, const target_settings& self)
    : m_state(std::make_unique<state>(settings, self, options_of(settings, self)))
{
}

target_daemon::~target_daemon() = default;

void target_daemon::run()
{
    m_state->run();
}

} // namespace masticcourse
