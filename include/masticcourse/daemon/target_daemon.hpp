/// @file
/// The process `masticcourse-target`, beside a target: its control core with connections and the target
/// around it.
#pragma once

#include "masticcourse/settings/settings.hpp"

#include <memory>

namespace masticcourse
{

/// One target process. Control state lives on the thread that calls `run`; traffic has threads of its own.
class target_daemon
{
  public:
    /// @throws std::runtime_error if one of its addresses can't be bound
    target_daemon(const deployment_settings& settings, const target_settings& self);
    target_daemon(const target_daemon&) = delete;
    target_daemon(target_daemon&&) = delete;
    target_daemon& operator=(const target_daemon&) = delete;
    target_daemon& operator=(target_daemon&&) = delete;
    ~target_daemon();

    /// Serves until SIGTERM or SIGINT, then finishes what is under way.
    void run();

  private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace masticcourse
