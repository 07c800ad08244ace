/// @file
/// The trees over which gateways pass on the changes of the tables that all of them follow: one for each
/// failure domain.
///
/// Load pattern: hundreds of gateways follow the same tables. If each followed them in the store, one changed
/// row would wake as many feed calls as there are gateways, and the store's load would grow with the number
/// of gateways times the number of targets. Instead, a fixed number of gateways of each failure domain, the
/// roots, follow the store; each of the others follows a gateway that ranks higher. A gateway serves a fixed
/// number of others unless some have failed, and a change reaches all of them after a number of messages that
/// grows with the logarithm of their number.
///
/// The rank of a gateway follows from its own entry alone. So gateways that have different lists of their
/// peers never follow each other in a cycle.
#pragma once

#include "masticcourse/gateway/peer.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

/// Gateways of a failure domain that follow the store. With more than one, few gateways depend on each, and
/// small sites need no relaying.
constexpr std::size_t feed_roots = 3;
/// Number of gateways that follow a gateway while none has failed.
constexpr std::size_t feed_fanout = 8;

class feed_tree
{
  public:
    explicit feed_tree(peer self) : m_self(std::move(self)) {}

    /// Computes this gateway's position.
    /// @param others the other gateways, of all failure domains
    void set(std::span<const peer> others);

    /// @return the addresses of the gateways that this one may follow: its parent, the parent's parent and so
    /// on, then the other roots; empty if it is a root and follows the store
    [[nodiscard]] const std::vector<std::string>& sources() const
    {
        return m_sources;
    }

    /// @return the number of gateways between this one and the store if none has failed; 0 for a root
    [[nodiscard]] std::size_t depth() const
    {
        return m_depth;
    }

  private:
    peer m_self;
    std::vector<std::string> m_sources;
    std::size_t m_depth = 0;
};

} // namespace masticcourse::gateway
