#include "masticcourse/gateway/overdraft_buckets.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <xxhash.h>

namespace masticcourse::gateway
{

namespace
{

const std::string bucket_table_name = "overdraft";
const std::string bucket_row_key = "buckets";

/// Until the first look at the row.
constexpr milliseconds first_look{300};
/// Until the row is written if there is none: gateways that start together are then on each other's list,
/// which is read every three seconds, and none takes the buckets of all.
constexpr milliseconds first_write{4'000};
/// Between two looks at least: a bucket that was given up is taken that much later.
constexpr milliseconds least_look_period{2'000};
/// Until another try after a conflict or a failure, at most, on a small site.
constexpr milliseconds least_backoff{150};
/// Looks and tries of all gateways fall on one row. Each takes its turn in this much time for every gateway,
/// so that the row's load is the same however many there are.
constexpr milliseconds turn_per_gateway{20};
/// Between two looks whether nothing is open any more, while leaving.
constexpr milliseconds leaving_period{50};

} // namespace

std::size_t overdraft_bucket_of(std::string_view program)
{
    // Seeded, so that buckets and partitions of the store do not fall together.
    constexpr std::uint64_t seed = 0x0d;
    return XXH3_64bits_withSeed(program.data(), program.size(), seed) % overdraft_bucket_count;
}

std::string encode_buckets(const bucket_table& buckets)
{
    nlohmann::json document = nlohmann::json::array();
    for (const auto& it : buckets)
    {
        document.push_back(it ? nlohmann::json{it->address, it->life} : nlohmann::json{});
    }
    return document.dump();
}

std::optional<bucket_table> decode_buckets(const std::string& text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_array() || document.size() != overdraft_bucket_count)
    {
        return std::nullopt;
    }
    bucket_table buckets;
    for (const auto& it : document)
    {
        const bool held = it.is_array() && it.size() == 2 && it[0].is_string() && it[1].is_string();
        if (!held && !it.is_null())
        {
            return std::nullopt;
        }
        buckets.push_back(
            held ? std::optional{gateway_life{it[0].get<std::string>(), it[1].get<std::string>()}}
                 : std::nullopt);
    }
    return buckets;
}

overdraft_buckets::overdraft_buckets(row_store& store, const peer_directory& peers, gateway_life self,
                                     delay_function delay, clock_function clock)
    : m_store(store), m_peers(peers), m_self(std::move(self)), m_delay(std::move(delay)),
      m_clock(std::move(clock)), m_started(m_clock())
{
}

void overdraft_buckets::start()
{
    step_later(first_look);
}

milliseconds overdraft_buckets::turn_time(milliseconds least) const
{
    const auto gateways = static_cast<milliseconds::rep>(m_peers.size() + 1);
    return std::max(least, gateways * turn_per_gateway);
}

milliseconds overdraft_buckets::random_pause(milliseconds least, milliseconds most)
{
    std::uniform_int_distribution<milliseconds::rep> pause(least.count(), most.count());
    return milliseconds{pause(m_random)};
}

void overdraft_buckets::look_later()
{
    if (m_idle)
    {
        step_later(leaving_period);
        return;
    }
    const auto until_first_write = std::chrono::ceil<milliseconds>(first_write - (m_clock() - m_started));
    if (m_version == 0 && until_first_write > milliseconds{0})
    {
        step_later(until_first_write + random_pause(milliseconds{0}, turn_time(least_backoff)));
        return;
    }
    const auto turn = turn_time(least_look_period);
    // Gateways that start together should not look together.
    step_later(random_pause(turn * 3 / 4, turn * 5 / 4));
}

void overdraft_buckets::try_later()
{
    step_later(random_pause(milliseconds{1}, turn_time(least_backoff)));
}

void overdraft_buckets::leave(std::function<bool(std::size_t)> idle)
{
    m_idle = std::move(idle);
    step_later(milliseconds{0});
}

bool overdraft_buckets::is_own(std::size_t bucket) const
{
    return m_buckets[bucket] == m_self;
}

bool overdraft_buckets::holds(std::size_t bucket) const
{
    const bool leaving = m_idle && m_store.reachable();
    return is_own(bucket) && !leaving && !m_gave_up;
}

std::optional<std::string> overdraft_buckets::holder_of(std::size_t bucket) const
{
    return m_buckets[bucket] ? std::optional{m_buckets[bucket]->address} : std::nullopt;
}

bool overdraft_buckets::may_go() const
{
    return m_idle && wish() == std::nullopt;
}

void overdraft_buckets::step_later(milliseconds pause)
{
    m_delay(pause,
            [this, planned = ++m_planned]
            {
                if (planned == m_planned)
                {
                    step();
                }
            });
}

void overdraft_buckets::step()
{
    if (m_idle && !wish())
    {
        // Nothing to give up yet, or any more.
        step_later(leaving_period);
        return;
    }
    const row_query query{.table = bucket_table_name};
    m_store.query(query,
                  [this](const query_reply& reply)
                  {
                      if (reply.answered)
                      {
                          adopt(reply.rows.empty() ? std::nullopt : std::optional{reply.rows.front()});
                      }
                      const auto next = reply.answered ? wish() : std::nullopt;
                      if (next)
                      {
                          write(*next);
                      }
                      else
                      {
                          look_later();
                      }
                  });
}

void overdraft_buckets::adopt(const std::optional<stored_row>& row)
{
    m_version = row ? row->version : 0;
    const auto buckets =
        row ? decode_buckets(row->value) : std::optional{bucket_table(overdraft_bucket_count)};
    if (!buckets)
    {
        m_faults.note(row->name, row->version, "no table of buckets");
    }
    // Of a row that can't be read nobody holds a bucket, and nobody takes one.
    m_buckets = buckets.value_or(bucket_table(overdraft_bucket_count, gateway_life{}));
}

std::size_t overdraft_buckets::fair_share() const
{
    const auto gateways = m_peers.size() + 1;
    return (overdraft_bucket_count + gateways - 1) / gateways;
}

bool overdraft_buckets::may_take(const std::optional<gateway_life>& holder) const
{
    if (!holder)
    {
        return true;
    }
    const bool predecessor = holder->address == m_self.address && holder->life != m_self.life;
    return predecessor && m_clock() - m_started >= longest_program;
}

std::optional<bucket_table> overdraft_buckets::wish() const
{
    auto next = m_buckets;
    if (m_idle)
    {
        for (std::size_t bucket = 0; bucket < next.size(); ++bucket)
        {
            if (is_own(bucket) && m_idle(bucket))
            {
                next[bucket].reset();
            }
        }
        return next != m_buckets ? std::optional{next} : std::nullopt;
    }
    if (m_version == 0 && m_clock() - m_started < first_write)
    {
        return std::nullopt;
    }
    auto held = static_cast<std::size_t>(std::ranges::count(next, std::optional{m_self}));
    const auto share = fair_share();
    for (auto& it : next)
    {
        if (held < share && may_take(it))
        {
            it = m_self;
            ++held;
        }
    }
    return next != m_buckets ? std::optional{next} : std::nullopt;
}

void overdraft_buckets::write(const bucket_table& next)
{
    m_gave_up = m_idle != nullptr;
    const row_transaction transaction{.conditions = {{{bucket_table_name, bucket_row_key}, m_version}},
                                      .puts = {{{bucket_table_name, bucket_row_key}, encode_buckets(next)}}};
    m_store.transact(transaction,
                     [this, next](const transaction_reply& reply)
                     {
                         if (reply.outcome == store_outcome::done)
                         {
                             m_buckets = next;
                             m_version = reply.version;
                             log_event(
                                 event_id::overdraft_buckets_changed,
                                 {{"held", std::to_string(std::ranges::count(next, std::optional{m_self}))},
                                  {"leaving", m_idle ? "yes" : "no"},
                                  {"row_version", std::to_string(reply.version)}});
                             look_later();
                             return;
                         }
                         // What is not known to be done shows with the next look.
                         try_later();
                     });
}

} // namespace masticcourse::gateway
