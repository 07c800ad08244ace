/// @file
/// Which gateway may allow a program an overdraft: one row of the store names, for each of a fixed number of
/// buckets, the life of the gateway that holds it. A program's bucket follows from its id.
///
/// - A bucket is taken and given up under the row's version only, so no two lives hold one at a time, however
///   long one of them slept or was cut off. There is no lease and no clock in it.
/// - Looks and tries are spread over a time that grows with the number of gateways: otherwise hundreds that
///   start together would keep the row, and the partition that it lies in, full of conflicts.
/// - Whoever gives a bucket up has nothing open for its programs. A life that died holding one may have had:
/// its
///   bucket stays its own until the next life on the same VM has run for so long that no program of then is
///   left.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/row_fault_log.hpp"
#include "masticcourse/gateway/row_store.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace masticcourse::gateway
{

/// One life of a gateway.
struct gateway_life
{
    /// Where peers reach it; the same for all lives on one VM.
    std::string address;
    /// New at each start.
    std::string life;

    friend bool operator==(const gateway_life&, const gateway_life&) = default;
};

/// How many buckets there are: several for each gateway of a small site, so that they share the load evenly;
/// on larger ones some gateways hold none.
inline constexpr std::size_t overdraft_bucket_count = 32;

[[nodiscard]] std::size_t overdraft_bucket_of(std::string_view program);

/// After that long without a turn no program is left: ten times what turns are kept for.
inline constexpr seconds longest_program{600};

/// The buckets; nothing in one that is free.
using bucket_table = std::vector<std::optional<gateway_life>>;

[[nodiscard]] std::string encode_buckets(const bucket_table& buckets);
/// @return nothing if @a text is no such row
[[nodiscard]] std::optional<bucket_table> decode_buckets(const std::string& text);

class overdraft_buckets
{
  public:
    overdraft_buckets(row_store& store, const peer_directory& peers, gateway_life self, delay_function delay,
                      clock_function clock);

    void start();

    /// Takes no more buckets, and gives up those held as soon as the store is there and @a idle says that
    /// nothing is open for a bucket. While the store is away they are used on: nobody else could take them.
    void leave(std::function<bool(std::size_t)> idle);

    /// @return whether the bucket is this life's
    [[nodiscard]] bool is_own(std::size_t bucket) const;
    /// @return whether this life holds the bucket and may use it: it has not begun to give it up
    [[nodiscard]] bool holds(std::size_t bucket) const;
    /// @return where the holder of a bucket is reached, as far as it is known
    [[nodiscard]] std::optional<std::string> holder_of(std::size_t bucket) const;
    /// Whether this life is leaving and has given up all that it can.
    [[nodiscard]] bool may_go() const;

  private:
    void step();
    /// Plans the next step, in place of one planned before.
    void step_later(milliseconds pause);
    void adopt(const std::optional<stored_row>& row);
    /// @return the table as this life would have it, or nothing if that is how it is
    [[nodiscard]] std::optional<bucket_table> wish() const;
    [[nodiscard]] std::size_t fair_share() const;
    /// @return how long one turn of all gateways at the row takes, @a least on a small site
    [[nodiscard]] milliseconds turn_time(milliseconds least) const;
    [[nodiscard]] milliseconds random_pause(milliseconds least, milliseconds most);
    /// Plans the next look at the row.
    void look_later();
    /// Plans another try at the row.
    void try_later();
    [[nodiscard]] bool may_take(const std::optional<gateway_life>& holder) const;
    void write(const bucket_table& next);

    row_store& m_store;
    const peer_directory& m_peers;
    gateway_life m_self;
    delay_function m_delay;
    clock_function m_clock;
    time_point m_started;
    bucket_table m_buckets = bucket_table(overdraft_bucket_count);
    row_version m_version = 0;
    row_fault_log m_faults;
    /// Set once this life is leaving.
    std::function<bool(std::size_t)> m_idle;
    /// Giving up has been asked of the store. It may be done at any time from then on, so no bucket is used
    /// any more, whatever the answer was.
    bool m_gave_up = false;
    /// Numbers the steps planned; only the last one is taken.
    std::uint64_t m_planned = 0;
    std::minstd_rand m_random{std::random_device{}()};
};

} // namespace masticcourse::gateway
