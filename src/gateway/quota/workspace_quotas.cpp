#include "masticcourse/gateway/quota/workspace_quotas.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>
#include <xxhash.h>

namespace masticcourse::gateway
{

namespace
{

/// Permits are prefetched for the requests expected within this time span, estimated from recent demand.
constexpr milliseconds prefetch_window{250};
/// How long a holder that did not reply is excluded.
constexpr milliseconds unresponsive_backoff{1'000};
/// How long a gateway that does not hold the slice is excluded: either it has just started and is about to
/// take the slice, or another gateway takes it.
constexpr milliseconds not_holder_backoff{200};
/// Interval between checks for a holder while there is none.
constexpr milliseconds no_holder_poll_interval{100};
/// Retry-after value if no holder could be reached: by then a killed holder has restarted, or another holder
/// is asked.
constexpr milliseconds no_holder_retry_after{500};
/// Minimum backoff for a slice without capacity. It grows with the number of gateways that may ask the slice,
/// so that the load of a flood on the holder does not grow with them.
constexpr milliseconds min_backoff{50};
constexpr milliseconds backoff_per_gateway{2};

std::uint64_t hash_of(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::size_t quota_bucket_of(const slice_id& slice)
{
    // Adjacent buckets often have the same holder, so the slices of a workspace are placed far apart.
    constexpr auto distance = quota_bucket_count / max_slices;
    return (hash_of(slice.workspace.value) + slice.index * distance) % quota_bucket_count;
}

ownership_terms quota_ownership_terms()
{
    // A slice starts empty, so the next process on the same VM can take it over immediately.
    return {.table = "quota",
            .buckets = quota_bucket_count,
            .inheritance_delay = seconds{0},
            .lease = lease_terms{}};
}

std::size_t workspace_quotas::slice_hash::operator()(const slice_id& it) const noexcept
{
    return hash_of(it.workspace.value) + it.index;
}

workspace_quotas::workspace_quotas(quota_options options, bucket_ownership& buckets,
                                   const peer_directory& peers, peer_call call, delay_function delay,
                                   clock_function clock, clock_function boottime_clock,
                                   metrics_registry& metrics)
    : m_options(options), m_buckets(buckets), m_peers(peers), m_call(std::move(call)),
      m_delay(std::move(delay)), m_clock(std::move(clock)), m_boottime_clock(std::move(boottime_clock)),
      m_metrics(metrics)
{
}

void workspace_quotas::set_config(config_ptr config)
{
    m_config = std::move(config);
    if (m_config->workspaces.has_quotas())
    {
        m_buckets.start();
    }
    std::erase_if(m_accounts,
                  [this](const auto& it)
                  {
                      const auto& [name, one] = it;
                      return !one.request_in_flight && !one.retry_scheduled && one.waiting.empty() &&
                             !limits_for(name);
                  });
    std::erase_if(m_slices, [this](const auto& it) { return !limits_for(it.first.workspace); });
}

std::optional<slice_limits> workspace_quotas::limits_for(const workspace_id& name) const
{
    const auto* const found = m_config ? m_config->workspaces.find(name) : nullptr;
    return found != nullptr && found->quota ? std::optional{slice_limits_for(*found->quota, m_options.rule)}
                                            : std::nullopt;
}

permit_pool& workspace_quotas::permits_for(account& it, admission_kind kind)
{
    return kind == admission_kind::start ? it.starts : it.others;
}

void workspace_quotas::acquire(const workspace& owner, admission_kind kind, quota_callback on_result)
{
    const auto now = m_boottime_clock();
    auto& it = m_accounts.try_emplace(owner.name, now).first->second;
    if (kind == admission_kind::other)
    {
        it.demand.record(now);
    }
    if (it.waiting.empty())
    {
        if (const auto permit = permits_for(it, kind).take(now))
        {
            on_result(*permit);
            return;
        }
    }
    it.waiting.push_back(
        {.kind = kind, .until = now + m_options.max_wait, .on_result = std::move(on_result)});
    if (!it.request_in_flight)
    {
        request_next_slice(owner.name);
    }
}

void workspace_quotas::grant_waiting(account& it)
{
    const auto now = m_boottime_clock();
    std::vector<std::pair<quota_callback, quota_permit>> served;
    std::erase_if(it.waiting,
                  [&](waiting_request& one)
                  {
                      const auto permit = permits_for(it, one.kind).take(now);
                      if (permit)
                      {
                          served.emplace_back(std::move(one.on_result), *permit);
                      }
                      return permit.has_value();
                  });
    // Callbacks may acquire again, so they run only after the list of waiting requests is consistent.
    std::ranges::for_each(served, [](const auto& one) { one.first(one.second); });
}

void workspace_quotas::request_next_slice(const workspace_id& name)
{
    auto& it = m_accounts.at(name);
    const auto limits = limits_for(name);
    if (!limits)
    {
        admit_waiting(it);
        return;
    }
    const auto request = next_request(name, it, *limits);
    if (!request)
    {
        wait_or_refuse(name, it, *limits);
        return;
    }
    it.request_in_flight = true;
    ++it.round_robin_index;
    send_request(*request, *limits);
}

std::optional<grant_request> workspace_quotas::next_request(const workspace_id& name, const account& it,
                                                            const slice_limits& limits) const
{
    const auto waiting = count_waiting(it);
    for (const auto slice : slice_order(name, it, limits.count))
    {
        const auto eligible = without_backoff(it, slice, waiting);
        if (eligible != request_counts{} && reachable({name, slice}))
        {
            const auto prefetch =
                eligible.others > 0 ? it.demand.expected(prefetch_window, m_boottime_clock()) : 0;
            return grant_request{.slice = {name, slice},
                                 .demand = {.waiting = eligible, .prefetch = prefetch}};
        }
    }
    return std::nullopt;
}

request_counts workspace_quotas::count_waiting(const account& it)
{
    const auto starts = std::ranges::count(it.waiting, admission_kind::start, &waiting_request::kind);
    return {.starts = static_cast<std::uint32_t>(starts),
            .others = static_cast<std::uint32_t>(it.waiting.size()) - static_cast<std::uint32_t>(starts)};
}

request_counts workspace_quotas::without_backoff(const account& it, std::size_t slice,
                                                 const request_counts& waiting) const
{
    const auto now = m_boottime_clock();
    const auto count = [&](admission_kind kind)
    { return it.backoffs.backed_off(slice, kind, now) ? 0U : waiting.of(kind); };
    return {.starts = count(admission_kind::start), .others = count(admission_kind::other)};
}

bool workspace_quotas::reachable(const slice_id& slice) const
{
    const auto bucket = quota_bucket_of(slice);
    if (m_buckets.may_use(bucket))
    {
        return true;
    }
    const auto holder = m_buckets.holder_of(bucket);
    if (!holder || m_buckets.is_holder(bucket))
    {
        return false;
    }
    const auto excluded = m_excluded_until.find(*holder);
    return excluded == m_excluded_until.end() || excluded->second <= m_boottime_clock();
}

std::vector<std::size_t> workspace_quotas::slice_order(const workspace_id& name, const account& it,
                                                       std::size_t count) const
{
    std::vector<std::size_t> slices(count);
    std::iota(slices.begin(), slices.end(), std::size_t{0});
    const auto first = (hash_of(m_buckets.self().address) + it.round_robin_index) % count;
    std::ranges::rotate(slices, slices.begin() + static_cast<std::ptrdiff_t>(first));
    std::ranges::stable_partition(slices,
                                  [&](std::size_t n) {
                                      return m_buckets.may_use(quota_bucket_of({name, n}));
                                  });
    return slices;
}

void workspace_quotas::send_request(const grant_request& request, const slice_limits& limits)
{
    const auto sent_at = m_boottime_clock();
    const auto bucket = quota_bucket_of(request.slice);
    if (m_buckets.may_use(bucket))
    {
        on_response(request, limits, sent_at, grant_locally(request));
        return;
    }
    const auto holder = *m_buckets.holder_of(bucket);
    m_call(holder, encode(request),
           [this, request, limits, sent_at, holder](const std::optional<std::string>& bytes)
           {
               const auto read = bytes ? decode_grant_response(*bytes) : std::nullopt;
               const auto response = read.value_or(not_holder{});
               if (std::holds_alternative<not_holder>(response))
               {
                   exclude_holder(holder, request.slice.workspace, bytes.has_value());
               }
               on_response(request, limits, sent_at, response);
           });
}

void workspace_quotas::exclude_holder(const std::string& holder, const workspace_id& name, bool responded)
{
    const auto backoff = responded ? not_holder_backoff : unresponsive_backoff;
    m_excluded_until[holder] = m_boottime_clock() + backoff;
    log_event(event_id::quota_holder_failed, {{"holder", holder},
                                              {"workspace", name.value},
                                              {"why", responded ? "not the slice holder" : "no answer"},
                                              {"left_out_ms", std::to_string(backoff.count())}});
}

void workspace_quotas::on_response(const grant_request& request, const slice_limits& limits,
                                   time_point sent_at, const grant_response& response)
{
    const auto& name = request.slice.workspace;
    auto& it = m_accounts.at(name);
    it.request_in_flight = false;
    if (const auto* const grant = std::get_if<slice_grant>(&response))
    {
        it.starts.add(grant->granted.starts, sent_at + limits.permit_lifetime);
        it.others.add(grant->granted.others, sent_at + limits.permit_lifetime);
        for (const auto kind : {admission_kind::start, admission_kind::other})
        {
            if (grant->granted.of(kind) < request.demand.waiting.of(kind))
            {
                const auto wait = std::max(grant->retry_after_for(kind),
                                           m_peers.scaled_interval(min_backoff, backoff_per_gateway));
                it.backoffs.back_off(request.slice.index, kind, m_boottime_clock() + wait);
            }
        }
    }
    else if (m_buckets.is_holder(quota_bucket_of(request.slice)))
    {
        // This gateway held the slice when the request was made and has given it up since.
        it.backoffs.back_off(request.slice.index, admission_kind::start,
                             m_boottime_clock() + not_holder_backoff);
        it.backoffs.back_off(request.slice.index, admission_kind::other,
                             m_boottime_clock() + not_holder_backoff);
    }
    // Callbacks may acquire again and must not send another grant request meanwhile.
    it.request_in_flight = true;
    grant_waiting(it);
    it.request_in_flight = false;
    if (!it.waiting.empty())
    {
        request_next_slice(name);
    }
}

void workspace_quotas::wait_or_refuse(const workspace_id& name, account& it, const slice_limits& limits)
{
    const auto now = m_boottime_clock();
    const auto can_wait = [&](const waiting_request& one)
    {
        const auto retry_at = it.backoffs.earliest_retry(one.kind, now);
        const bool waits = one.kind == admission_kind::other || !retry_at;
        return waits && retry_at.value_or(now + no_holder_poll_interval) <= one.until;
    };
    const auto cannot_wait = std::ranges::stable_partition(it.waiting, can_wait).begin();
    const auto kept = std::min(cannot_wait - it.waiting.begin(), max_waiting(limits));
    const auto refused_from = it.waiting.begin() + kept;
    const std::vector<waiting_request> refused{refused_from, it.waiting.end()};
    it.waiting.erase(refused_from, it.waiting.end());
    if (!it.waiting.empty())
    {
        const auto retry_at = it.backoffs.earliest_retry(it.waiting.front().kind, now);
        schedule_retry(
            name, it,
            std::chrono::ceil<milliseconds>(retry_at.value_or(now + no_holder_poll_interval) - now));
    }
    std::ranges::for_each(refused, [&](const auto& one)
                          { refuse(name, one, it.backoffs.earliest_retry(one.kind, now)); });
}

std::ptrdiff_t workspace_quotas::max_waiting(const slice_limits& limits) const
{
    const auto wait = std::chrono::duration<double>{m_options.max_wait}.count();
    return std::llround(static_cast<double>(limits.count) * limits.rate * wait);
}

void workspace_quotas::schedule_retry(const workspace_id& name, account& it, milliseconds delay)
{
    if (std::exchange(it.retry_scheduled, true))
    {
        return;
    }
    m_delay(delay,
            [this, name]
            {
                auto& later = m_accounts.at(name);
                later.retry_scheduled = false;
                if (!later.request_in_flight && !later.waiting.empty())
                {
                    request_next_slice(name);
                }
            });
}

void workspace_quotas::admit_waiting(account& it)
{
    const auto released = std::exchange(it.waiting, {});
    const quota_permit permit{.expires = m_boottime_clock() + m_options.max_wait};
    std::ranges::for_each(released, [&](const auto& one) { one.on_result(permit); });
}

void workspace_quotas::refuse(const workspace_id& name, const waiting_request& it,
                              std::optional<time_point> retry_at)
{
    const auto wait =
        retry_at ? std::chrono::ceil<milliseconds>(*retry_at - m_boottime_clock()) : no_holder_retry_after;
    m_metrics
        .get_counter("masticcourse_quota_refusals_total", "Requests without a permit, by reason.",
                     {{"reason", retry_at ? "used_up" : "no_holder"},
                      {"need", it.kind == admission_kind::start ? "start" : "other"},
                      {"workspace", name.value}})
        .add();
    it.on_result(quota_refusal{.used_up = retry_at.has_value(), .retry_after = wait});
}

grant_response workspace_quotas::grant_locally(const grant_request& request)
{
    const auto limits = limits_for(request.slice.workspace);
    const auto bucket = quota_bucket_of(request.slice);
    if (!m_buckets.may_use(bucket) || !limits || request.slice.index >= limits->count)
    {
        return not_holder{};
    }
    const auto acquired_at = m_buckets.held_since(bucket);
    auto& slice = m_slices.try_emplace(request.slice, acquired_at, m_options.policy).first->second;
    if (slice.acquired_at() != acquired_at)
    {
        // Another gateway has granted permits from the slice in the meantime.
        slice = quota_slice{acquired_at, m_options.policy};
    }
    return slice.grant(request.demand, *limits, m_clock());
}

std::optional<std::string> workspace_quotas::handle_peer_request(const std::string& bytes)
{
    const auto request = decode_grant_request(bytes);
    return request ? std::optional{encode(grant_locally(*request))} : std::nullopt;
}

} // namespace masticcourse::gateway
