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

/// Of what came lately, so much is asked for ahead.
constexpr milliseconds ahead_span{250};
/// How long a holder that did not answer is left out.
constexpr milliseconds silent_pause{1'000};
/// The same for one that does not hold the slice: it has just started and takes it, or another does.
constexpr milliseconds not_holder_pause{200};
/// Between two looks for a holder while there is none.
constexpr milliseconds holder_pause{100};
/// When to come back if no holder could be asked: one that was killed is back by then, or another is asked.
constexpr milliseconds after_no_holder{500};
/// A slice without room is left alone for so long at least, and longer the more gateways may ask it: what its
/// holder is asked in a flood does not grow with them.
constexpr milliseconds least_pause{50};
constexpr milliseconds pause_per_gateway{2};

std::uint64_t hash_of(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::size_t quota_bucket_of(const slice_name& slice)
{
    // Neighbouring buckets often have one holder: the slices of a workspace lie far from each other.
    constexpr auto distance = quota_bucket_count / most_slices;
    return (hash_of(slice.workspace.value) + slice.index * distance) % quota_bucket_count;
}

ownership_terms quota_ownership_terms()
{
    // A slice starts empty, so the next life on a VM goes on with it at once.
    return {.table = "quota",
            .buckets = quota_bucket_count,
            .inheritance_delay = seconds{0},
            .lease = lease_terms{}};
}

std::size_t workspace_quotas::slice_hash::operator()(const slice_name& it) const noexcept
{
    return hash_of(it.workspace.value) + it.index;
}

workspace_quotas::workspace_quotas(quota_options options, bucket_ownership& buckets,
                                   const peer_directory& peers, peer_call call, delay_function delay,
                                   clock_function clock, clock_function awake_clock,
                                   metrics_registry& metrics)
    : m_options(options), m_buckets(buckets), m_peers(peers), m_call(std::move(call)),
      m_delay(std::move(delay)), m_clock(std::move(clock)), m_awake_clock(std::move(awake_clock)),
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
                      return !one.asking && !one.retry_planned && one.waiting.empty() && !terms(name);
                  });
    std::erase_if(m_slices, [this](const auto& it) { return !terms(it.first.workspace); });
}

std::optional<slice_terms> workspace_quotas::terms(const workspace_id& name) const
{
    const auto* const found = m_config ? m_config->workspaces.find(name) : nullptr;
    return found != nullptr && found->quota ? std::optional{terms_of(*found->quota, m_options.rule)}
                                            : std::nullopt;
}

portion_list& workspace_quotas::portions(account& it, quota_need need)
{
    return need == quota_need::start ? it.starts : it.others;
}

void workspace_quotas::draw(const workspace& owner, quota_need need, quota_callback on_result)
{
    const auto now = m_awake_clock();
    auto& it = m_accounts.try_emplace(owner.name, now).first->second;
    if (need == quota_need::other)
    {
        it.demand.record(now);
    }
    if (it.waiting.empty())
    {
        if (const auto permit = portions(it, need).take(now))
        {
            on_result(*permit);
            return;
        }
    }
    it.waiting.push_back(
        {.need = need, .until = now + m_options.longest_wait, .on_result = std::move(on_result)});
    if (!it.asking)
    {
        ask_next(owner.name);
    }
}

void workspace_quotas::serve_waiting(account& it)
{
    const auto now = m_awake_clock();
    std::vector<std::pair<quota_callback, quota_permit>> served;
    std::erase_if(it.waiting,
                  [&](waiting_request& one)
                  {
                      const auto permit = portions(it, one.need).take(now);
                      if (permit)
                      {
                          served.emplace_back(std::move(one.on_result), *permit);
                      }
                      return permit.has_value();
                  });
    // A request that goes on may draw again: the list of those who wait must be whole by then.
    std::ranges::for_each(served, [](const auto& one) { one.first(one.second); });
}

void workspace_quotas::ask_next(const workspace_id& name)
{
    auto& it = m_accounts.at(name);
    const auto limit = terms(name);
    if (!limit)
    {
        release_waiting(it);
        return;
    }
    const auto question = next_question(name, it, *limit);
    if (!question)
    {
        wait_for_room(name, it, *limit);
        return;
    }
    it.asking = true;
    ++it.turn;
    ask(*question, *limit);
}

std::optional<slice_question> workspace_quotas::next_question(const workspace_id& name, const account& it,
                                                              const slice_terms& terms) const
{
    const auto waiting = count_waiting(it);
    for (const auto slice : order(name, it, terms.count))
    {
        const auto asked = not_paused(it, slice, waiting);
        if (asked != request_counts{} && reachable({name, slice}))
        {
            const auto ahead = asked.others > 0 ? it.demand.expected(ahead_span, m_awake_clock()) : 0;
            return slice_question{.slice = {name, slice}, .demand = {.waiting = asked, .ahead = ahead}};
        }
    }
    return std::nullopt;
}

request_counts workspace_quotas::count_waiting(const account& it)
{
    const auto starts = std::ranges::count(it.waiting, quota_need::start, &waiting_request::need);
    return {.starts = static_cast<std::uint32_t>(starts),
            .others = static_cast<std::uint32_t>(it.waiting.size()) - static_cast<std::uint32_t>(starts)};
}

request_counts workspace_quotas::not_paused(const account& it, std::size_t slice,
                                            const request_counts& waiting) const
{
    const auto now = m_awake_clock();
    const auto count = [&](quota_need need)
    { return it.pauses.paused(slice, need, now) ? 0U : waiting.of(need); };
    return {.starts = count(quota_need::start), .others = count(quota_need::other)};
}

bool workspace_quotas::reachable(const slice_name& slice) const
{
    const auto bucket = quota_bucket_of(slice);
    if (m_buckets.holds(bucket))
    {
        return true;
    }
    const auto holder = m_buckets.holder_of(bucket);
    if (!holder || m_buckets.owns(bucket))
    {
        return false;
    }
    const auto silent = m_silent_until.find(*holder);
    return silent == m_silent_until.end() || silent->second <= m_awake_clock();
}

std::vector<std::size_t> workspace_quotas::order(const workspace_id& name, const account& it,
                                                 std::size_t count) const
{
    std::vector<std::size_t> slices(count);
    std::iota(slices.begin(), slices.end(), std::size_t{0});
    const auto first = (hash_of(m_buckets.self().address) + it.turn) % count;
    std::ranges::rotate(slices, slices.begin() + static_cast<std::ptrdiff_t>(first));
    std::ranges::stable_partition(slices,
                                  [&](std::size_t n) {
                                      return m_buckets.holds(quota_bucket_of({name, n}));
                                  });
    return slices;
}

void workspace_quotas::ask(const slice_question& question, const slice_terms& terms)
{
    const auto asked = m_awake_clock();
    const auto bucket = quota_bucket_of(question.slice);
    if (m_buckets.holds(bucket))
    {
        on_answer(question, terms, asked, grant(question));
        return;
    }
    const auto holder = *m_buckets.holder_of(bucket);
    m_call(holder, encode(question),
           [this, question, terms, asked, holder](const std::optional<std::string>& bytes)
           {
               const auto read = bytes ? decode_slice_answer(*bytes) : std::nullopt;
               const auto answer = read.value_or(not_holder{});
               if (std::holds_alternative<not_holder>(answer))
               {
                   leave_out(holder, question.slice.workspace, bytes.has_value());
               }
               on_answer(question, terms, asked, answer);
           });
}

void workspace_quotas::leave_out(const std::string& holder, const workspace_id& name, bool answered)
{
    const auto pause = answered ? not_holder_pause : silent_pause;
    m_silent_until[holder] = m_awake_clock() + pause;
    log_event(event_id::quota_holder_failed, {{"holder", holder},
                                              {"workspace", name.value},
                                              {"why", answered ? "it does not hold the slice" : "no answer"},
                                              {"left_out_ms", std::to_string(pause.count())}});
}

void workspace_quotas::on_answer(const slice_question& question, const slice_terms& terms, time_point asked,
                                 const slice_answer& answer)
{
    const auto& name = question.slice.workspace;
    auto& it = m_accounts.at(name);
    it.asking = false;
    if (const auto* const grant = std::get_if<slice_grant>(&answer))
    {
        it.starts.add(grant->granted.starts, asked + terms.portion_life);
        it.others.add(grant->granted.others, asked + terms.portion_life);
        for (const auto need : {quota_need::start, quota_need::other})
        {
            if (grant->granted.of(need) < question.demand.waiting.of(need))
            {
                const auto wait =
                    std::max(grant->after(need), m_peers.period(least_pause, pause_per_gateway));
                it.pauses.pause(question.slice.index, need, m_awake_clock() + wait);
            }
        }
    }
    else if (m_buckets.owns(quota_bucket_of(question.slice)))
    {
        // Held here a moment ago, and given up since.
        it.pauses.pause(question.slice.index, quota_need::start, m_awake_clock() + not_holder_pause);
        it.pauses.pause(question.slice.index, quota_need::other, m_awake_clock() + not_holder_pause);
    }
    // Those who go on may draw again, and must not ask meanwhile.
    it.asking = true;
    serve_waiting(it);
    it.asking = false;
    if (!it.waiting.empty())
    {
        ask_next(name);
    }
}

void workspace_quotas::wait_for_room(const workspace_id& name, account& it, const slice_terms& limit)
{
    const auto now = m_awake_clock();
    const auto can_wait = [&](const waiting_request& one)
    {
        const auto room = it.pauses.first_room(one.need, now);
        const bool waits = one.need == quota_need::other || !room;
        return waits && room.value_or(now + holder_pause) <= one.until;
    };
    const auto waits_until = std::ranges::stable_partition(it.waiting, can_wait).begin();
    const auto kept = std::min(waits_until - it.waiting.begin(), most_waiting(limit));
    const auto refused_from = it.waiting.begin() + kept;
    const std::vector<waiting_request> refused{refused_from, it.waiting.end()};
    it.waiting.erase(refused_from, it.waiting.end());
    if (!it.waiting.empty())
    {
        const auto room = it.pauses.first_room(it.waiting.front().need, now);
        plan_retry(name, it, std::chrono::ceil<milliseconds>(room.value_or(now + holder_pause) - now));
    }
    std::ranges::for_each(refused,
                          [&](const auto& one) { refuse(name, one, it.pauses.first_room(one.need, now)); });
}

std::ptrdiff_t workspace_quotas::most_waiting(const slice_terms& limit) const
{
    const auto wait = std::chrono::duration<double>{m_options.longest_wait}.count();
    return std::llround(static_cast<double>(limit.count) * limit.rate * wait);
}

void workspace_quotas::plan_retry(const workspace_id& name, account& it, milliseconds pause)
{
    if (std::exchange(it.retry_planned, true))
    {
        return;
    }
    m_delay(pause,
            [this, name]
            {
                auto& later = m_accounts.at(name);
                later.retry_planned = false;
                if (!later.asking && !later.waiting.empty())
                {
                    ask_next(name);
                }
            });
}

void workspace_quotas::release_waiting(account& it)
{
    const auto released = std::exchange(it.waiting, {});
    const quota_permit permit{.expires = m_awake_clock() + m_options.longest_wait};
    std::ranges::for_each(released, [&](const auto& one) { one.on_result(permit); });
}

void workspace_quotas::refuse(const workspace_id& name, const waiting_request& it,
                              std::optional<time_point> room)
{
    const auto wait = room ? std::chrono::ceil<milliseconds>(*room - m_awake_clock()) : after_no_holder;
    m_metrics
        .get_counter("masticcourse_quota_refusals_total", "Requests without a permit, by reason.",
                     {{"reason", room ? "used_up" : "no_holder"},
                      {"need", it.need == quota_need::start ? "start" : "other"},
                      {"workspace", name.value}})
        .add();
    it.on_result(quota_refusal{.used_up = room.has_value(), .retry_after = wait});
}

slice_answer workspace_quotas::grant(const slice_question& question)
{
    const auto limit = terms(question.slice.workspace);
    const auto bucket = quota_bucket_of(question.slice);
    if (!m_buckets.holds(bucket) || !limit || question.slice.index >= limit->count)
    {
        return not_holder{};
    }
    const auto since = m_buckets.held_since(bucket);
    auto& slice = m_slices.try_emplace(question.slice, since, m_options.policy).first->second;
    if (slice.since() != since)
    {
        // Another gateway has handed out from it meanwhile.
        slice = quota_slice{since, m_options.policy};
    }
    return slice.grant(question.demand, *limit, m_clock());
}

std::optional<std::string> workspace_quotas::serve(const std::string& bytes)
{
    const auto question = decode_slice_question(bytes);
    return question ? std::optional{encode(grant(*question))} : std::nullopt;
}

} // namespace masticcourse::gateway
