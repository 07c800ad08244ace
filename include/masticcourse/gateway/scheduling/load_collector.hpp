/// @file
/// The collector's side of the exchange of load: keeps the last state of each gateway and adds them up.
#pragma once

#include "masticcourse/gateway/scheduling/load_messages.hpp"

#include <map>
#include <string>
#include <unordered_map>

namespace masticcourse::gateway
{

class load_collector
{
  public:
    /// @param incarnation distinguishes this collector from others and from earlier runs
    /// @param lifetime    a gateway that sends nothing for this long no longer counts
    load_collector(std::string incarnation, milliseconds lifetime);

    /// Applies a gateway's digest.
    /// @return the state of the other gateways
    [[nodiscard]] load_summary exchange(const load_digest& digest, time_point now);

    /// Adjusts the lifetime to the interval at which gateways send digests.
    void set_lifetime(milliseconds lifetime);

  private:
    // State to be defined by the implementation.
};

} // namespace masticcourse::gateway
