#include "gateway_state.hpp"

#include "masticcourse/gateway/io_delay.hpp"
#include "masticcourse/telemetry/log.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// How a target is checked after it has lost a response. The check delays the repeat of the request, so it
/// takes a few milliseconds unless the network fails.
constexpr server_check_options target_check{
    .connect_timeout = milliseconds{100}, .settle_time = milliseconds{10}, .max_tries = 3};
/// Delay of the event loop from which on it is logged, and how often.
constexpr milliseconds logged_delay{100};
constexpr milliseconds delay_log_interval{1'000};
/// Interval between sweeps of the tables for expired entries.
constexpr milliseconds sweep_period{100};
/// Shortest time between two updates of the configuration and of the targets: far below the time in which a
/// leaving target must be left alone, long enough that the changes of a site that starts share messages.
constexpr milliseconds table_update_interval{50};
/// Time until the load balancer stops sending callers here: two readiness probes one second apart, plus
/// network latency.
constexpr milliseconds readiness_propagation_time{2'500};
/// Safety margin before the process would be killed.
constexpr milliseconds kill_margin{500};
/// For answering the requests that are still in progress, and for writing what they have used.
constexpr milliseconds last_responses_margin{400};
/// The cache for rows of the partitions whose commits this gateway batches gets the size of the turn cache
/// divided by this.
constexpr std::size_t row_cache_divisor = 2;

/// @return a random id that distinguishes this incarnation from all others on its VM
std::string random_incarnation()
{
    std::random_device source;
    return std::to_string((std::uint64_t{source()} << 32U) | source());
}

/// @return how long after the begin of a shutdown the requests in progress are ended
milliseconds requests_time(milliseconds stop_grace)
{
    return std::max(stop_grace - kill_margin - last_responses_margin, stop_grace / 2);
}

} // namespace

gateway::state::state(event_loop& given_loop, gateway_options given_options,
                      const gateway_protocol& request_protocol, row_store& table_store,
                      peer_directory& directory, table_decoders row_decoders, metrics_registry& metrics)
    : loop(given_loop), options(std::move(given_options)), protocol(request_protocol), store(table_store),
      peers(directory), seed(make_random_seed()), decoders(std::move(row_decoders)), registry(metrics),
      delay(make_io_delay(loop.context())), shares(options.memory), client(loop.traffic_executor()),
      peer_client(loop.context(), options.memory),
      local_commits(store, delay, monotonic_now, derive_seed(seed, "commits"),
                    options.cache_bytes / row_cache_divisor),
      commits(
          local_commits, store, peers,
          [this](const auto& address, auto bytes, auto on_reply)
          { peer_client.collect(address, std::move(bytes), std::move(on_reply)); },
          delay, monotonic_now),
      shared_rows(
          store, local_commits.cached_rows(), peers,
          [this](const auto& address, auto bytes, auto on_rows)
          { peer_client.query_rows(address, std::move(bytes), std::move(on_rows)); },
          monotonic_now),
      turns(shared_rows, commits, options.cache_bytes, options.row_bytes, options.memory),
      spending(shared_rows, commits, turns, delay, monotonic_now),
      overdraft_buckets(overdraft_ownership_terms(), store, peers,
                        {options.peer_address, random_incarnation()}, delay, monotonic_now, boottime_now,
                        derive_seed(seed, "overdraft buckets")),
      overdrafts(
          overdraft_buckets,
          [this](const auto& address, auto message, auto on_reply)
          { peer_client.overdraft(address, std::move(message), std::move(on_reply)); },
          monotonic_now),
      quota_buckets(quota_ownership_terms(), store, peers, {options.peer_address, random_incarnation()},
                    delay, monotonic_now, boottime_now, derive_seed(seed, "quota buckets")),
      quotas(
          {.rule = options.quota}, quota_buckets, peers,
          [this](const auto& address, auto request, auto on_reply)
          { peer_client.quota(address, std::move(request), std::move(on_reply)); },
          delay, monotonic_now, boottime_now, registry),
      scheduler({.options = options.scheduling,
                 .targets = targets,
                 .peers = peers,
                 .send_digest = [this](const auto& address, auto digest, auto on_reply)
                 { peer_client.load_digest(address, std::move(digest), std::move(on_reply)); },
                 .delay = delay,
                 .clock = monotonic_now,
                 .seed = derive_seed(seed, "scheduler"),
                 .self = options.peer_address,
                 .incarnation = random_incarnation(),
                 .metrics = registry}),
      suspicions({.detection = poison,
                  .peers = peers,
                  .send = [this](const auto& address, auto news, auto on_reply)
                  { peer_client.suspicions(address, std::move(news), std::move(on_reply)); },
                  .delay = delay,
                  .clock = monotonic_now,
                  .self = options.peer_address,
                  .metrics = registry}),
      memory(options, turns, local_commits, registry),
      traffic_delays(registry.get_histogram("masticcourse_traffic_delay_seconds",
                                            "How long requests waited for the processor before they were "
                                            "taken in.")),
      services{.open_stream = [this](auto request, auto on_chunk, auto on_reply)
               { return client.open_stream(std::move(request), std::move(on_chunk), std::move(on_reply)); },
               .check_target = [this](const auto& address, auto on_result)
               { client.check_server(address, target_check, std::move(on_result)); },
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
               .tables = {.age = [this] { return tables.age(); },
                          .currency = [this] { return tables.currency(); },
                          .refresh = [this](const auto& on_done) { tables.refresh(on_done); }},
               .start_timer = make_io_timer(loop.context()),
               .clock = monotonic_now,
               .metrics = registry,
               .memory = options.memory,
               .shares = shares,
               .own_domain = options.own_domain,
               .own_name = options.node},
      feeds{.store = store,
            .peers = peers,
            .relay = [this](const auto& address, auto request, auto on_reply)
            { peer_client.feed(address, std::move(request), std::move(on_reply)); },
            .delay = delay,
            .clock = monotonic_now,
            .boottime_clock = boottime_now,
            .seed = seed,
            .record_age =
                [this](const std::string& table, duration age)
            {
                registry
                    .get_histogram("masticcourse_table_age_seconds",
                                   "Age that a followed table had reached when it was confirmed again.",
                                   {{"table", table}})
                    .record(std::chrono::floor<std::chrono::microseconds>(age));
            },
            .attended_clock = options.attended_clock ? options.attended_clock : clock_function{boottime_now}},
      gateways(feeds, options.node, {options.peer_address, options.cores, options.own_domain}),
      config_rows(feeds, {.name = decoders.config_table, .min_interval = table_update_interval},
                  {.on_snapshot = [this](const auto& rows)
                   { std::ranges::for_each(rows, [this](const auto& it) { apply_config_row(it); }); },
                   .on_change = [this](const auto& row) { apply_config_row(row); }}),
      target_rows(feeds, {.name = decoders.target_table, .min_interval = table_update_interval},
                  {.on_snapshot = [this](const auto& rows) { apply_target_snapshot(rows); },
                   .on_change = [this](const auto& row) { apply_target_row(row); }}),
      tables(config_rows, target_rows)
{
}

void gateway::state::start()
{
    frontend =
        std::make_unique<http_server>(loop.traffic_executor(), options.frontend_address, frontend_limits(),
                                      [this](http_request request, std::shared_ptr<http_exchange> exchange)
                                      { serve(std::move(request), std::move(exchange)); });
    readiness = std::make_unique<http_server>(
        loop.context(), options.readiness_address, observer_limits(),
        [this](const http_request& request, const auto& exchange)
        {
            constexpr int ok = 200;
            constexpr int unavailable = 503;
            const bool path_matches = request.target == options.readiness_path;
            exchange->respond({.status = path_matches && ready() ? ok : unavailable, .body = "{}"});
        });
    if (!options.metrics_address.empty())
    {
        metrics_server = std::make_unique<http_server>(
            loop.context(), options.metrics_address, observer_limits(),
            [this](const http_request&, const auto& exchange)
            { exchange->respond({.content_type = "text/plain; version=0.0.4", .body = registry.render()}); });
    }
    gateways.start(
        [this]
        {
            config_rows.start();
            target_rows.start();
            suspicions.subscribe();
        });
    overdraft_buckets.start();
    schedule_sweep();
}

void gateway::state::schedule_sweep()
{
    sweep();
    note_currency();
    delay(sweep_period,
          [this, due = monotonic_now() + sweep_period]
          {
              record_delay(due);
              schedule_sweep();
          });
}

void gateway::state::record_delay(time_point due)
{
    const auto now = monotonic_now();
    const auto late = now - due;
    registry
        .get_histogram("masticcourse_event_loop_delay_seconds",
                       "By how much the event loop got to a timer late.")
        .record(std::chrono::floor<std::chrono::microseconds>(late));
    const bool may_log = !last_delay_logged || now - *last_delay_logged >= delay_log_interval;
    const auto traffic = std::chrono::floor<duration>(loop.traffic_delay());
    if (std::max<duration>(late, traffic) >= logged_delay && may_log)
    {
        last_delay_logged = now;
        log_event(event_id::event_loop_delayed,
                  {{"late_ms", std::to_string(std::chrono::floor<milliseconds>(late).count())},
                   {"traffic_ms", std::to_string(std::chrono::floor<milliseconds>(traffic).count())}});
    }
}

void gateway::state::note_currency()
{
    const auto currency = tables.currency();
    if (currency == last_currency)
    {
        return;
    }
    const auto age =
        std::chrono::floor<milliseconds>(std::min<duration>(tables.age(), std::chrono::hours{24}));
    log_event(event_id::table_currency_changed, {{"from", std::string{to_string(last_currency)}},
                                                 {"to", std::string{to_string(currency)}},
                                                 {"evidence", std::string{to_string(tables.evidence())}},
                                                 {"age_ms", std::to_string(age.count())}});
    last_currency = currency;
}

bool gateway::state::ready() const
{
    return config.current() && target_rows.loaded() && !stopping_since;
}

void gateway::state::sweep()
{
    const auto now = monotonic_now();
    const bool registry_unreachable = !store.reachable() || target_rows.currency() != table_currency::current;
    if (registry_unreachable && last_sweep)
    {
        targets.extend_grace(now - *last_sweep);
    }
    last_sweep = now;
    targets.expire(now);
    memory.update(now);
    scheduler.sweep(now);
    poison.sweep(now);
    spending.evict_idle(now);
    overdrafts.evict_idle();
    registry
        .get_gauge("masticcourse_overdraft_outstanding_tokens",
                   "Tokens outstanding of the overdrafts of programs whose buckets this gateway holds.")
        .set(overdrafts.outstanding());
    if (ready() != was_ready)
    {
        was_ready = ready();
        log_event(was_ready ? event_id::process_ready : event_id::process_draining, {});
    }
}

void gateway::state::stop(std::function<void()> callback)
{
    if (stopping_since)
    {
        return;
    }
    on_stopped = std::move(callback);
    stopping_since = monotonic_now();
    shutdown.begin(*stopping_since, *stopping_since + requests_time(options.stop_grace));
    sweep();
    gateways.leave();
    // The others leave this gateway out from now on, and callers keep using their connections to it.
    suspicions.subscribe();
    frontend->announce_close();
    overdraft_buckets.leave([this](std::size_t bucket) { return overdrafts.idle(bucket); });
    // Permits granted to peers expire by themselves.
    quota_buckets.leave([](std::size_t) { return true; });
    check_stopped();
}

void gateway::state::check_stopped()
{
    const auto waited = monotonic_now() - *stopping_since;
    const bool readiness_propagated = waited >= readiness_propagation_time;
    const bool must_exit = waited >= options.stop_grace - kill_margin;
    if (readiness_propagated && !accepting_stopped)
    {
        accepting_stopped = true;
        frontend->stop_accepting();
    }
    if (waited >= requests_time(options.stop_grace) && !std::exchange(requests_ended, true))
    {
        end_requests();
    }
    // Releasing buckets needs the store, so shutdown does not wait for it while the store is unreachable.
    const bool buckets_released =
        (overdraft_buckets.release_finished() && quota_buckets.release_finished()) || !store.reachable();
    const auto unwritten = commits.pending() + spending.unwritten();
    const bool idle = frontend->open_exchanges() == 0 && unwritten == 0 && buckets_released;
    // After `stop_accepting`, idle connections get the server's grace period for requests in transit.
    const bool settled = waited >= readiness_propagation_time + http_limits{}.stop_grace + sweep_period;
    if ((settled && idle) || must_exit)
    {
        if (!idle)
        {
            log_event(event_id::drain_timed_out, {{"requests", std::to_string(frontend->open_exchanges())},
                                                  {"commits", std::to_string(unwritten)}});
        }
        on_stopped();
        return;
    }
    delay(sweep_period, [this] { check_stopped(); });
}

void gateway::state::end_requests()
{
    if (requests_in_progress.empty())
    {
        return;
    }
    log_event(event_id::drain_timed_out, {{"requests", std::to_string(requests_in_progress.size())}});
    // Each removes itself.
    const auto requests = requests_in_progress;
    for (const auto& [number, it] : requests)
    {
        if (const auto request = it.lock())
        {
            request->end_for_shutdown();
        }
    }
}

gateway::gateway(event_loop& loop, gateway_options options, const gateway_protocol& protocol,
                 row_store& store, peer_directory& peers, table_decoders decoders, metrics_registry& metrics)
    : m_state(std::make_unique<state>(loop, std::move(options), protocol, store, peers, std::move(decoders),
                                      metrics))
{
}

gateway::~gateway() = default;

void gateway::start()
{
    m_state->start();
}

void gateway::stop(std::function<void()> on_stopped)
{
    m_state->stop(std::move(on_stopped));
}

} // namespace masticcourse::gateway
