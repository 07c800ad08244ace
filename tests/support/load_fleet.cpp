#include "support/load_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>

namespace masticcourse::testing
{

namespace
{

using gateway::duration;
using gateway::milliseconds;
using gateway::time_point;

/// After this time the transport reports that there is no reply.
constexpr milliseconds transport_timeout{2'000};
constexpr std::uint32_t slots_per_target = 6;
constexpr milliseconds sample_interval{10};
constexpr std::size_t samples_at_once = 20;

/// The requests in flight of one gateway at one target over the recent past.
class usage_history
{
  public:
    void set(std::uint32_t value, time_point now)
    {
        m_changes.push_back({now, value});
    }

    [[nodiscard]] std::uint32_t current() const
    {
        return m_changes.back().value;
    }

    /// @return the smallest and the largest value since @a from
    [[nodiscard]] std::pair<std::uint32_t, std::uint32_t> range(time_point from)
    {
        while (m_changes.size() > 1 && m_changes[1].at <= from)
        {
            m_changes.pop_front();
        }
        const auto [low, high] = std::ranges::minmax_element(m_changes, {}, &change::value);
        return {low->value, high->value};
    }

  private:
    struct change
    {
        time_point at{};
        std::uint32_t value = 0;
    };

    std::deque<change> m_changes{{time_point{}, 0}};
};

struct seen_report
{
    gateway::target_load_report load;
    time_point at{};
};

template <typename Value>
Value percentile_95(std::vector<Value> values)
{
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(values.size() * 95 / 100);
    std::ranges::nth_element(values, at);
    return *at;
}

} // namespace

class load_fleet::member
{
  public:
    member(load_fleet& owner, std::size_t index, const std::vector<gateway::peer>& list)
        : address(address_of(index)), fleet(owner), peers({.address = address}, {1}),
          in_flight(owner.m_options.targets), reports(owner.m_options.targets),
          new_successes(owner.m_options.targets),
          exchange({.peers = peers,
                    .send = [this](const std::string& to, const std::string& bytes,
                                   const gateway::peer_callback& on_reply)
                    { fleet.call(*this, to, bytes, on_reply); },
                    .delay = owner.delays_for(*this),
                    .clock = owner.time.clock(),
                    .local = [this] { return usage(); },
                    .on_update = [this] { count_successes(); },
                    .self = address,
                    .incarnation = address + "#1",
                    .metrics = metrics,
                    .seed = {static_cast<std::uint32_t>(index + 1) * 7'919U + owner.m_options.seed.value}})
    {
        peers.set(list);
    }

    [[nodiscard]] gateway::local_usage usage()
    {
        gateway::local_usage all;
        for (std::size_t n = 0; n < in_flight.size(); ++n)
        {
            gateway::target_usage it{.target = target_of(n),
                                     .in_flight = in_flight[n].current(),
                                     .successes = std::exchange(new_successes[n], 0)};
            if (reports[n])
            {
                const auto age = std::chrono::floor<milliseconds>(fleet.time.now() - reports[n]->at);
                it.report = gateway::aged_load_report{.load = reports[n]->load, .age = age};
            }
            all.targets.push_back(std::move(it));
        }
        all.demand.push_back({.service = {"service"}, .waiting = waiting});
        return all;
    }

    void count_successes()
    {
        for (std::size_t n = 0; n < in_flight.size(); ++n)
        {
            if (const auto* const it = exchange.find(target_of(n), fleet.time.now()))
            {
                told_successes += it->successes;
            }
        }
    }

    std::string address;
    load_fleet& fleet;
    gateway::peer_directory peers;
    metrics_registry metrics;
    std::vector<usage_history> in_flight;
    std::vector<std::optional<seen_report>> reports;
    std::vector<std::uint32_t> new_successes;
    std::uint32_t waiting = 0;
    std::uint64_t successes = 0;
    std::uint64_t told_successes = 0;
    std::size_t served = 0;
    std::optional<time_point> last_sent;
    time_point frozen_until{};
    milliseconds reply_delay{};
    bool stopped = false;
    gateway::load_exchange exchange;
};

std::string load_fleet::address_of(std::size_t n)
{
    return "10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":8443";
}

gateway::target_instance load_fleet::target_of(std::size_t n)
{
    constexpr milliseconds start_time{1'700'000'000'000};
    return {.id = {"engine-" + std::to_string(n)}, .started = gateway::wall_time{start_time}};
}

load_fleet::load_fleet(load_fleet_options options)
    : m_options(options), m_random(options.seed.value), m_running(options.targets),
      m_shortest_gap(milliseconds::max())
{
    std::vector<gateway::peer> list;
    for (std::size_t n = 0; n < options.gateways; ++n)
    {
        list.push_back({.address = address_of(n)});
    }
    for (std::size_t n = 0; n < options.gateways; ++n)
    {
        m_members.push_back(std::make_unique<member>(*this, n, list));
        m_indices[address_of(n)] = n;
        m_members.back()->exchange.set_enabled(true);
    }
}

load_fleet::~load_fleet() = default;

gateway::delay_function load_fleet::delays_for(const member& it)
{
    return [this, &it](milliseconds after, const std::function<void()>& action)
    {
        const auto run = [this, &it, action](const auto& self) -> void
        {
            if (it.frozen_until > time.now())
            {
                const auto rest = std::chrono::ceil<milliseconds>(it.frozen_until - time.now());
                time.delays()(rest, [self] { self(self); });
            }
            else if (!it.stopped)
            {
                action();
            }
        };
        time.delays()(after, [run] { run(run); });
    };
}

milliseconds load_fleet::random_span(double mean_ms)
{
    std::exponential_distribution<double> distribution{1 / mean_ms};
    return milliseconds{static_cast<milliseconds::rep>(std::lround(distribution(m_random)))};
}

std::size_t load_fleet::random_below(std::size_t n)
{
    return std::uniform_int_distribution<std::size_t>{0, n - 1}(m_random);
}

std::size_t load_fleet::index_of(const std::string& address) const
{
    return m_indices.at(address);
}

void load_fleet::start_requests()
{
    m_requests_run = true;
    begin_next_request();
}

void load_fleet::pause_requests()
{
    m_requests_run = false;
}

void load_fleet::begin_next_request()
{
    const auto in_flight = m_options.requests_per_target * static_cast<double>(m_options.targets);
    const auto mean_ms = static_cast<double>(m_options.mean_duration.count());
    const auto per_ms = in_flight / mean_ms;
    // Requests begin in step with a tick of 1 ms, as many as are due in it.
    const auto count = std::poisson_distribution<int>{per_ms}(m_random);
    for (int n = 0; n < count; ++n)
    {
        const auto gateway = random_below(m_options.gateways);
        const auto target = random_below(m_options.targets);
        set_in_flight(gateway, target, m_members[gateway]->in_flight[target].current() + 1);
        time.delays()(random_span(mean_ms), [this, gateway, target] { end_request(gateway, target); });
    }
    time.delays()(milliseconds{1},
                  [this]
                  {
                      if (m_requests_run)
                      {
                          begin_next_request();
                      }
                  });
}

void load_fleet::end_request(std::size_t gateway, std::size_t target)
{
    auto& it = *m_members[gateway];
    if (!m_requests_run || it.stopped)
    {
        return;
    }
    set_in_flight(gateway, target, it.in_flight[target].current() - 1);
    ++it.successes;
    ++it.new_successes[target];
    const auto running = m_running[target];
    it.reports[target] = {.load = {.running = std::min(running, slots_per_target),
                                   .waiting = running - std::min(running, slots_per_target),
                                   .slots = slots_per_target,
                                   .time_factor = 1.0},
                          .at = time.now()};
}

void load_fleet::set_in_flight(std::size_t gateway, std::size_t target, std::uint32_t count)
{
    auto& it = *m_members[gateway];
    if (!it.stopped)
    {
        m_running[target] = m_running[target] - it.in_flight[target].current() + count;
        it.in_flight[target].set(count, time.now());
    }
}

void load_fleet::set_waiting(std::size_t gateway, std::uint32_t count)
{
    m_members[gateway]->waiting = count;
}

void load_fleet::kill(std::size_t gateway)
{
    for (std::size_t n = 0; n < m_options.targets; ++n)
    {
        set_in_flight(gateway, n, 0);
    }
    m_members[gateway]->stopped = true;
}

void load_fleet::freeze(std::size_t gateway, milliseconds span)
{
    m_members[gateway]->frozen_until = time.now() + span;
}

void load_fleet::slow_down(std::size_t gateway, milliseconds reply_delay)
{
    m_members[gateway]->reply_delay = reply_delay;
}

void load_fleet::cut(std::size_t one, std::size_t other)
{
    m_cuts.insert(std::minmax(address_of(one), address_of(other)));
}

bool load_fleet::is_cut(const std::string& a, const std::string& b) const
{
    return m_cuts.contains(std::minmax(a, b));
}

gateway::load_exchange& load_fleet::exchange(std::size_t gateway)
{
    return m_members[gateway]->exchange;
}

gateway::peer_directory& load_fleet::directory(std::size_t gateway)
{
    return m_members[gateway]->peers;
}

metrics_registry& load_fleet::metrics(std::size_t gateway)
{
    return m_members[gateway]->metrics;
}

std::size_t load_fleet::collector() const
{
    const auto& it = **std::ranges::find(m_members, false, [](const auto& one) { return one->stopped; });
    return index_of(it.peers.collector_of("load", time.now()).value_or(it.address));
}

milliseconds load_fleet::interval() const
{
    return m_members.front()->peers.scaled_interval(milliseconds{200}, milliseconds{2});
}

std::uint32_t load_fleet::in_flight_of_others(std::size_t gateway, std::size_t target) const
{
    return m_running[target] - m_members[gateway]->in_flight[target].current();
}

std::uint32_t load_fleet::viewed(std::size_t gateway, std::size_t target)
{
    const auto* const it = exchange(gateway).find(target_of(target), time.now());
    return it != nullptr ? it->in_flight : 0;
}

std::int64_t load_fleet::unseen_successes(std::size_t gateway) const
{
    const auto total = std::transform_reduce(m_members.begin(), m_members.end(), std::uint64_t{0},
                                             std::plus{}, [](const auto& it) { return it->successes; });
    const auto& it = *m_members[gateway];
    return static_cast<std::int64_t>(total - it.successes) - static_cast<std::int64_t>(it.told_successes);
}

bool load_fleet::all_views_exact()
{
    for (std::size_t n = 0; n < m_options.gateways; ++n)
    {
        for (std::size_t target = 0; target < m_options.targets && !m_members[n]->stopped; ++target)
        {
            if (!exchange(n).fresh(time.now()) || viewed(n, target) != in_flight_of_others(n, target))
            {
                return false;
            }
        }
    }
    return true;
}

bool load_fleet::possible(std::size_t gateway, std::size_t target, std::uint32_t sum) const
{
    // Two intervals with their jitter, and the way of two digests and their replies.
    const auto oldest = time.now() - interval() * 22 / 10 - 4 * m_options.one_way_delay - milliseconds{2};
    std::uint32_t least = 0;
    std::uint32_t most = 0;
    for (std::size_t n = 0; n < m_options.gateways; ++n)
    {
        if (n != gateway)
        {
            const auto [low, high] = m_members[n]->in_flight[target].range(oldest);
            least += low;
            most += high;
        }
    }
    return least <= sum && sum <= most;
}

load_measurement load_fleet::measure(milliseconds span)
{
    load_measurement result;
    std::vector<duration> ages;
    std::vector<double> errors;
    m_bytes = 0;
    m_shortest_gap = milliseconds::max();
    std::ranges::for_each(m_members, [](const auto& it) { it->served = 0; });
    const auto end = time.now() + span;
    while (time.now() < end)
    {
        time.run(sample_interval);
        for (std::size_t n = 0; n < samples_at_once; ++n)
        {
            const auto gateway = random_below(m_options.gateways);
            const auto target = random_below(m_options.targets);
            const auto sum = viewed(gateway, target);
            ages.push_back(exchange(gateway).age(time.now()));
            errors.push_back(std::abs(double{1} * sum - in_flight_of_others(gateway, target)));
            result.impossible_sums += possible(gateway, target, sum) ? 0 : 1;
        }
    }
    const auto per_second = 1'000.0 / static_cast<double>(span.count());
    const auto& busiest = *std::ranges::max_element(m_members, {}, [](const auto& it) { return it->served; });
    result.samples = ages.size();
    result.age_p95 = std::chrono::ceil<milliseconds>(percentile_95(ages));
    result.error_p95 = percentile_95(errors);
    result.collector_messages = static_cast<double>(busiest->served) * per_second;
    result.bytes_per_gateway =
        static_cast<double>(m_bytes) * per_second / static_cast<double>(m_options.gateways);
    result.shortest_gap = m_shortest_gap;
    return result;
}

void load_fleet::call(member& sender, const std::string& to, const std::string& bytes,
                      const gateway::peer_callback& on_reply)
{
    ++messages;
    m_bytes += bytes.size();
    if (const auto last = std::exchange(sender.last_sent, time.now()))
    {
        m_shortest_gap = std::min(m_shortest_gap, std::chrono::floor<milliseconds>(time.now() - *last));
    }
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [answered, on_reply](const std::optional<std::string>& reply)
    {
        if (!std::exchange(*answered, true))
        {
            on_reply(reply);
        }
    };
    delays_for(sender)(transport_timeout, [answer] { answer(std::nullopt); });
    if (is_cut(sender.address, to) || (loses && loses(sender.address, message_kind::digest)))
    {
        return;
    }
    auto& receiver = *m_members[index_of(to)];
    if (receiver.stopped || (refuses && refuses(sender.address)))
    {
        delays_for(sender)(2 * m_options.one_way_delay, [answer] { answer(std::nullopt); });
        return;
    }
    const auto reply = [this, &sender, &receiver, answer](const std::optional<std::string>& summary)
    {
        if (!loses || !loses(sender.address, message_kind::summary))
        {
            delays_for(sender)(receiver.reply_delay + m_options.one_way_delay,
                               [answer, summary] { answer(summary); });
        }
    };
    delays_for(receiver)(m_options.one_way_delay,
                         [this, &receiver, bytes, reply] { deliver(receiver, bytes, reply); });
}

void load_fleet::deliver(member& receiver, const std::string& bytes, const gateway::peer_callback& on_reply)
{
    ++receiver.served;
    const auto summary = receiver.exchange.serve(bytes);
    m_bytes += summary ? summary->size() : 0;
    on_reply(summary);
}

} // namespace masticcourse::testing
