/// @file
/// The process `masticcourse-entry`: its control core with HTTP, connections and the store around it.
#pragma once

#include "masticcourse/settings/settings.hpp"

#include <memory>

namespace masticcourse
{

/// One entry process. Control state lives on the thread that calls `run`; traffic has threads of its own.
class entry_daemon
{
  public:
    /// @throws std::runtime_error if one of its addresses can't be bound
    entry_daemon(const deployment_settings& settings, const entry_settings& self);
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon(entry_daemon&&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;
    entry_daemon& operator=(entry_daemon&&) = delete;
    ~entry_daemon();

    /// Serves until SIGTERM or SIGINT, then hands over and finishes what is under way.
    void run();

  private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace masticcourse
