#include "masticcourse/gateway/scheduling/load_exchange.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// Key by which gateways agree on the collector.
constexpr const char* collector_key = "load";
constexpr milliseconds min_interval{200};
/// Bounds the digests that a collector receives to 500 per second.
constexpr std::chrono::microseconds interval_per_gateway{2'000};
/// The interval is extended at random by up to a tenth, so that gateways do not send in step.
constexpr int jitter_divisor = 10;
/// A digest of a gateway, and a view, are used for this many intervals.
constexpr int lifetime_intervals = 3;
constexpr milliseconds min_view_lifetime{1'000};
/// A digest without a reply counts as failed at the first tick after this time. Gateways with a small share
/// of a core take more than one minimum interval to read a reply; a view that waits for one more tick and
/// then for the next collector is still within its lifetime.
constexpr milliseconds reply_timeout{300};
/// Ages are rounded to milliseconds, so that times of the same report differ by less than this.
constexpr milliseconds report_resolution{2};

/// @return whether a report is of use to others and later than the one that was sent
bool is_newer(const aged_load_report& it, std::optional<time_point> sent, time_point now)
{
    return it.age <= load_report_lifetime && (!sent || now - it.age >= *sent + report_resolution);
}

} // namespace

load_exchange::load_exchange(dependencies services)
    : m_services(std::move(services)),
      m_metrics{.sent = m_services.metrics.get_counter("masticcourse_load_digests_total",
                                                       "Digests of the load sent to a collector."),
                .failed = m_services.metrics.get_counter("masticcourse_load_digests_failed_total",
                                                         "Digests of the load without a valid reply."),
                .bytes = m_services.metrics.get_counter("masticcourse_load_digest_bytes_total",
                                                        "Bytes of the digests sent to a collector."),
                .view_age = m_services.metrics.get_histogram(
                    "masticcourse_load_view_age_seconds", "Age of the view of other gateways' load when the "
                                                          "next digest is due."),
                .gateways = m_services.metrics.get_gauge("masticcourse_load_view_gateways",
                                                         "Gateways whose load is in the view.")},
      m_random(m_services.seed.value), m_collector(m_services.incarnation, lifetime_intervals * min_interval)
{
}

milliseconds load_exchange::interval() const
{
    return m_services.peers.scaled_interval(min_interval, interval_per_gateway);
}

duration load_exchange::view_lifetime() const
{
    return std::max(lifetime_intervals * interval(), min_view_lifetime);
}

milliseconds load_exchange::random_part_of(milliseconds span)
{
    return milliseconds{std::uniform_int_distribution<milliseconds::rep>{0, span.count()}(m_random)};
}

void load_exchange::set_enabled(bool enabled)
{
    if (enabled == m_enabled)
    {
        return;
    }
    m_enabled = enabled;
    ++m_run;
    reset();
    if (enabled)
    {
        const auto now = m_services.clock();
        const auto earliest = m_last_sent_at.value_or(now - interval()) + interval();
        const auto wait = std::max(duration{0}, earliest - now);
        schedule(std::chrono::ceil<milliseconds>(wait) + random_part_of(interval()));
    }
}

void load_exchange::reset()
{
    m_selected.clear();
    m_confirmed_by.clear();
    m_received_version = 0;
    m_needs_complete = true;
    m_outstanding.reset();
    m_sent.clear();
    m_view_at.reset();
    m_view.clear();
    m_others_waiting.clear();
    m_gateways = 1;
    m_metrics.gateways.set(0);
}

void load_exchange::schedule(milliseconds after)
{
    m_services.delay(after,
                     [this, run = m_run]
                     {
                         if (run == m_run)
                         {
                             tick();
                         }
                     });
}

void load_exchange::tick()
{
    const auto now = m_services.clock();
    if (m_view_at)
    {
        m_metrics.view_age.record(std::chrono::duration_cast<std::chrono::microseconds>(now - *m_view_at));
    }
    schedule(interval() + random_part_of(interval() / jitter_divisor));
    if (m_outstanding && now - m_outstanding->sent_at >= reply_timeout)
    {
        on_failure("no reply");
    }
    if (!m_outstanding)
    {
        send();
    }
}

void load_exchange::send()
{
    const auto now = m_services.clock();
    const auto peer = m_services.peers.collector_of(collector_key, now);
    const auto collector = peer.value_or(m_services.self);
    select(collector);
    const auto digest = make_digest(collector, now);
    m_outstanding = {.collector = collector, .sequence = digest.sequence, .sent_at = now};
    m_last_sent_at = now;
    if (!peer)
    {
        m_collector.set_lifetime(lifetime_intervals * interval());
        on_summary(m_collector.exchange(digest, now));
        return;
    }
    auto bytes = encode(digest);
    m_metrics.sent.add();
    m_metrics.bytes.add(bytes.size());
    m_services.peers.start_probe(collector, now);
    m_services.send(
        collector, std::move(bytes),
        [this, run = m_run, collector, sequence = digest.sequence](const std::optional<std::string>& reply)
        {
            if (run == m_run)
            {
                on_reply(collector, sequence, reply);
            }
        });
}

void load_exchange::select(const std::string& collector)
{
    if (!m_selected.empty() && m_selected != collector)
    {
        log_event(event_id::load_collector_failed,
                  {{"collector", m_selected}, {"why", "replaced"}, {"next", collector}});
    }
    m_selected = collector;
}

load_digest load_exchange::make_digest(const std::string& collector, time_point now)
{
    const bool complete = m_needs_complete || collector != m_confirmed_by;
    auto usage = m_services.local();
    std::erase_if(usage.demand, [](const service_demand& it) { return it.waiting == 0; });
    usage.demand.resize(std::min(usage.demand.size(), max_load_services));
    return {.sender = m_services.self,
            .incarnation = m_services.incarnation,
            .sequence = ++m_sequence,
            .received_version = collector == m_confirmed_by ? m_received_version : 0,
            .complete = complete,
            .targets = changed_usages(std::move(usage.targets), complete, now),
            .demand = std::move(usage.demand)};
}

std::vector<target_usage> load_exchange::changed_usages(std::vector<target_usage> targets, bool complete,
                                                        time_point now)
{
    if (complete)
    {
        m_sent.clear();
    }
    std::vector<target_usage> changed;
    const auto add = [&](sent_usage& sent, target_usage usage)
    {
        if (changed.size() < max_load_targets)
        {
            sent.in_flight = usage.in_flight;
            sent.reported_at = usage.report ? now - usage.report->age : sent.reported_at;
            changed.push_back(std::move(usage));
        }
    };
    for (auto& it : targets)
    {
        auto& sent = m_sent[it.target];
        sent.listed_in = m_sequence;
        if (it.report && !is_newer(*it.report, sent.reported_at, now))
        {
            it.report.reset();
        }
        if (it.in_flight != sent.in_flight || it.report || it.successes > 0 || it.failures > 0)
        {
            add(sent, std::move(it));
        }
    }
    forget_unused();
    // The collector is told that the other unlisted targets have no request in flight any more.
    for (auto& [target, sent] : m_sent)
    {
        if (sent.listed_in != m_sequence)
        {
            add(sent, {.target = target});
        }
    }
    return changed;
}

void load_exchange::forget_unused()
{
    std::erase_if(m_sent,
                  [this](const auto& entry)
                  {
                      const auto& sent = entry.second;
                      return sent.listed_in != m_sequence && sent.in_flight == 0;
                  });
}

void load_exchange::on_reply(const std::string& collector, std::uint64_t sequence,
                             const std::optional<std::string>& bytes)
{
    const bool expected = m_outstanding && m_outstanding->sequence == sequence;
    const auto summary = bytes ? decode_load_summary(*bytes) : std::nullopt;
    if (!expected)
    {
        if (summary)
        {
            on_late_reply(collector);
        }
        return;
    }
    if (!summary)
    {
        on_failure(bytes ? "malformed reply" : "no reply");
        return;
    }
    if (m_tolerated_late == collector)
    {
        m_tolerated_late.clear();
    }
    m_services.peers.responded(collector);
    on_summary(*summary);
}

void load_exchange::on_late_reply(const std::string& collector)
{
    // The other gateways probably still use this collector, so a short pause must not separate this one from
    // them for the time of an exclusion. A collector that is late again remains excluded.
    if (m_tolerated_late != collector)
    {
        m_tolerated_late = collector;
        m_services.peers.responded(collector);
    }
}

void load_exchange::on_failure(const char* why)
{
    const auto failed = std::exchange(m_outstanding, std::nullopt);
    // Whether the collector has applied the digest is unknown.
    m_needs_complete = true;
    m_services.peers.failed(failed->collector, m_services.clock());
    m_metrics.failed.add();
    log_event(event_id::load_collector_failed, {{"collector", failed->collector}, {"why", why}});
}

void load_exchange::on_summary(const load_summary& summary)
{
    const auto digest = std::exchange(m_outstanding, std::nullopt);
    m_needs_complete = summary.needs_complete;
    m_confirmed_by = digest->collector;
    m_received_version = summary.version;
    m_view_at = digest->sent_at;
    update_view(summary, m_services.clock());
    m_services.on_update();
}

void load_exchange::update_view(const load_summary& summary, time_point now)
{
    if (summary.complete)
    {
        m_view.clear();
    }
    for (auto& [target, it] : m_view)
    {
        it.successes = 0;
        it.failures = 0;
    }
    for (const auto& usage : summary.targets)
    {
        auto& it = m_view[usage.target];
        it.in_flight = usage.in_flight;
        it.successes = usage.successes;
        it.failures = usage.failures;
        if (usage.report)
        {
            it.report = usage.report->load;
            it.reported_at = now - usage.report->age;
        }
    }
    std::erase_if(m_view,
                  [now](const auto& entry)
                  {
                      const auto& it = entry.second;
                      const bool reported = it.report && now - it.reported_at <= load_report_lifetime;
                      return it.in_flight == 0 && it.successes == 0 && it.failures == 0 && !reported;
                  });
    m_others_waiting.clear();
    std::ranges::for_each(summary.demand,
                          [this](const service_demand& it) { m_others_waiting[it.service] = it.waiting; });
    m_gateways = std::max(summary.gateways, std::uint32_t{1});
    m_metrics.gateways.set(m_gateways);
}

std::optional<std::string> load_exchange::serve(const std::string& bytes)
{
    const auto digest = decode_load_digest(bytes);
    if (!digest)
    {
        return std::nullopt;
    }
    m_collector.set_lifetime(lifetime_intervals * interval());
    return encode(m_collector.exchange(*digest, m_services.clock()));
}

bool load_exchange::fresh(time_point now) const
{
    return m_view_at && now - *m_view_at <= view_lifetime();
}

duration load_exchange::age(time_point now) const
{
    return m_view_at ? now - *m_view_at : duration::max();
}

const external_usage* load_exchange::find(const target_instance& target, time_point now) const
{
    const auto it = m_view.find(target);
    return it != m_view.end() && fresh(now) ? &it->second : nullptr;
}

std::uint32_t load_exchange::others_waiting(const service_name& service, time_point now) const
{
    const auto it = m_others_waiting.find(service);
    return it != m_others_waiting.end() && fresh(now) ? it->second : 0;
}

std::uint32_t load_exchange::gateways(time_point now) const
{
    return fresh(now) ? m_gateways : 1;
}

} // namespace masticcourse::gateway
