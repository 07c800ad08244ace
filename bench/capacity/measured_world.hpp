/// @file
/// A world at the daemons' own settings, and what passed in it between two moments.
#pragma once

#include "slope.hpp"

#include "support/system_world.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace masticcourse::capacity
{

/// @return options of a world with the defaults that the daemons have
[[nodiscard]] tests::system_options daemon_options();

/// Lets all links open and all shards be taken.
void settle(tests::system_world& world);

/// @return what passed since @a before
[[nodiscard]] tests::system_traffic since(const tests::system_world& world,
                                          const tests::system_traffic& before);

[[nodiscard]] std::uint64_t total(const std::map<std::size_t, std::uint64_t>& counts);

/// Reads and writes among store operations.
[[nodiscard]] std::uint64_t store_reads(const tests::system_traffic& traffic);
[[nodiscard]] std::uint64_t store_writes(const tests::system_traffic& traffic);

/// Measurements that share their sizes.
class series
{
  public:
    explicit series(std::string per);

    /// Adds a value at the present size.
    void add(const std::string& what, const std::string& unit, double size, double value);

    [[nodiscard]] const std::vector<measurement>& all() const;

  private:
    std::string m_per;
    std::vector<measurement> m_all;
};

/// Measures a settled world.
using world_measure = std::function<void(series& into, tests::system_world& world, double size)>;

/// @name Series over settled worlds that differ in one option
/// @{
[[nodiscard]] series by_entries(const std::string& per, const world_measure& measure);
[[nodiscard]] series by_targets(const std::string& per, const world_measure& measure);
[[nodiscard]] series by_shards(const std::string& per, const world_measure& measure);
/// @}

} // namespace masticcourse::capacity
