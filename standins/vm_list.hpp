/// @file
/// A stand-in for the platform's list of VMs, which shows changes late.
#pragma once

#include "masticcourse/core/clock.hpp"

#include <deque>
#include <string>
#include <vector>

namespace masticcourse::standins
{

enum class vm_state : std::uint8_t
{
    live,
    leaving,
};

struct vm_entry
{
    std::string name;
    /// "entry" or "target"
    std::string role;
    /// Where its process of the system takes connections, "ip:port".
    std::string address;
    std::string service;
    std::string failure_domain;
    vm_state state = vm_state::live;

    friend bool operator==(const vm_entry&, const vm_entry&) = default;
};

/// @return the list as JSON text
[[nodiscard]] std::string vms_to_json(const std::vector<vm_entry>& vms);

/// @throws std::invalid_argument if @a text is no such list
[[nodiscard]] std::vector<vm_entry> vms_from_json(const std::string& text);

/// The list, as it was some time ago. Not thread-safe.
class vm_list
{
  public:
    explicit vm_list(core_duration lag);

    void replace(std::vector<vm_entry> vms, core_time now);

    /// @return the newest list that is at least the lag old; empty before there is one
    [[nodiscard]] const std::vector<vm_entry>& shown(core_time now);

  private:
    struct version
    {
        core_time since;
        std::vector<vm_entry> vms;
    };

    core_duration m_lag;
    std::deque<version> m_pending;
    std::vector<vm_entry> m_shown;
};

} // namespace masticcourse::standins
