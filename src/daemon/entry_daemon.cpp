#include "masticcourse/daemon/entry_daemon.hpp"

#include "caller_desk.hpp"
#include "incarnation.hpp"
#include "known_processes.hpp"

#include "masticcourse/control/entry_core.hpp"
#include "masticcourse/daemon/control_loop.hpp"
#include "masticcourse/daemon/observer.hpp"
#include "masticcourse/daemon/peer_hub.hpp"
#include "masticcourse/daemon/traffic.hpp"
#include "masticcourse/net/http_client.hpp"
#include "masticcourse/net/http_server.hpp"
#include "masticcourse/net/percent.hpp"
#include "masticcourse/settings/config_document.hpp"
#include "masticcourse/store/store_client.hpp"

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
constexpr auto last_answers = std::chrono::milliseconds{300};
constexpr int status_unavailable = 503;

entry_options options_of(const deployment_settings& settings, const entry_settings& self)
{
    entry_options options{.name = self.name,
                          .incarnation = new_incarnation(self.name),
                          .peer_address = self.peer_address,
                          .region = self.region,
                          .failure_domain = self.failure_domain,
                          .seed = system_random()};
    const auto& limits = settings.limits;
    options.shards = limits.shards;
    options.processes = processes_of(settings);
    options.initial_config = initial_config(settings);
    options.heartbeat_period = limits.heartbeat_period;
    options.peer_timeout = limits.peer_timeout;
    options.takeover_delay = limits.peer_timeout + limits.peer_timeout / 2;
    options.program_lease = limits.lease;
    options.journal_gap = limits.journal_gap;
    options.durability_wait = limits.durability_wait;
    options.escrow_chunk = limits.escrow;
    return options;
}

http_limits http_limits_of(const deployment_settings& settings)
{
    http_limits limits;
    limits.max_body = settings.limits.max_body;
    return limits;
}

} // namespace

class entry_daemon::state
{
  public:
    state(const deployment_settings& settings, const entry_settings& self)
        : m_settings(settings), m_observer(self.name), m_client(m_traffic.context()),
          m_store(m_client, settings.platform.store_address),
          m_loop(
              entry_core{options_of(settings, self)},
              [this](entry_output output) { std::visit([this](const auto& it) { perform(it); }, output); },
              [this](const entry_core& core) { publish(core.counts()); }),
          m_desk(settings, [this](entry_input input) { m_loop.post(std::move(input)); }),
          m_hub(m_traffic.context(), self.peer_address, entry_core::first_inbound_link, m_observer.clock(),
                [this](peer_input input)
                { std::visit([this](auto& it) { m_loop.post(std::move(it)); }, input); }),
          m_server(m_traffic.context(), self.http_address, http_limits_of(settings),
                   [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange)
                   { take(request, exchange); })
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
        // Answers on their way out are still written.
        std::this_thread::sleep_for(last_answers);
        m_traffic.stop();
    }

  private:
    void read_vm_list()
    {
        fetch_vm_list(m_client, m_settings.platform,
                      [this](std::vector<known_process> processes)
                      { m_loop.post(processes_listed{std::move(processes)}); });
    }

    void take(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
    {
        if (m_observer.answer(request, *exchange))
        {
            return;
        }
        if (split_target(request.target).path == "/readyz")
        {
            const bool ready = m_ready.load();
            exchange->respond({.status = ready ? http_response{}.status : status_unavailable,
                               .body = ready ? R"({"ready":true})" : R"({"ready":false})"});
            return;
        }
        m_desk.take(request, exchange);
    }

    void publish(const entry_counts& counts)
    {
        const bool was_ready = m_ready.exchange(counts.ready);
        if (counts.ready && !was_ready)
        {
            m_observer.record({.id = event_id::process_ready});
        }
        m_programs.set(static_cast<std::int64_t>(counts.programs));
        m_calls.set(static_cast<std::int64_t>(counts.calls_in_progress));
        m_shards.set(static_cast<std::int64_t>(counts.shards_owned));
        m_peers.set(static_cast<std::int64_t>(counts.peers_live));
    }

    /// @name What the core wants done
    /// @{
    void perform(const caller_reply& it)
    {
        m_desk.reply(it);
    }

    void perform(const caller_event& it)
    {
        m_desk.event(it);
    }

    void perform(const caller_end& it)
    {
        m_desk.end(it);
    }

    void perform(const run_store_op& it)
    {
        const auto begun = std::chrono::steady_clock::now();
        m_store.run(it.operation, m_settings.platform.store_timeout,
                    [this, id = it.id, begun](store_reply reply)
                    {
                        const auto elapsed = std::chrono::steady_clock::now() - begun;
                        m_store_time.record(std::chrono::duration_cast<std::chrono::microseconds>(elapsed));
                        m_loop.post(store_done{id, std::move(reply)});
                    });
    }

    void perform(const open_peer& it)
    {
        m_hub.open(it);
    }

    void perform(const send_peer& it)
    {
        m_hub.send(it);
    }

    void perform(const close_peer& it)
    {
        m_hub.close(it);
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
    observer m_observer;
    gauge& m_programs = m_observer.metrics().get_gauge("masticcourse_programs", "Programs at home here.");
    gauge& m_calls = m_observer.metrics().get_gauge("masticcourse_calls", "Calls in progress.");
    gauge& m_shards = m_observer.metrics().get_gauge("masticcourse_shards_owned", "Shards owned.");
    gauge& m_peers = m_observer.metrics().get_gauge("masticcourse_peers_live", "Peers that answer.");
    latency_histogram& m_store_time = m_observer.metrics().get_histogram(
        "masticcourse_store_seconds", "Operations on the platform's store.");
    std::atomic<bool> m_ready{false};
    traffic m_traffic;
    http_client m_client;
    store_client m_store;
    control_loop<entry_core, entry_input, entry_output> m_loop;
    caller_desk m_desk;
    peer_hub m_hub;
    http_server m_server;
};

entry_daemon::entry_daemon(const deployment_settings& settings, const entry_settings& self)
    : m_state(std::make_unique<state>(settings, self))
{
}

entry_daemon::~entry_daemon() = default;

void entry_daemon::run()
{
    m_state->run();
}

} // namespace masticcourse
