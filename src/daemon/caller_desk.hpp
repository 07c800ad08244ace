/// @file
/// The callers of an entry process: who may ask, and who waits for which answer.
#pragma once

#include "masticcourse/control/entry_core.hpp"
#include "masticcourse/net/http_server.hpp"
#include "masticcourse/settings/settings.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace masticcourse
{

/// Turns HTTP requests into inputs of the entry core and its outputs into answers. Thread-safe.
class caller_desk
{
  public:
    using input_handler = std::function<void(entry_input)>;

    caller_desk(const deployment_settings& settings, input_handler on_input);

    /// Takes one request, on an I/O thread.
    void take(const http_request& request, const std::shared_ptr<http_exchange>& exchange);

    /// @name Outputs of the core
    /// @{
    void reply(const caller_reply& answer);
    void event(const caller_event& event);
    void end(const caller_end& end);
    /// @}

    /// @return how many callers wait
    [[nodiscard]] std::size_t waiting() const;

  private:
    struct waiting_caller
    {
        std::shared_ptr<http_exchange> exchange;
        bool streaming = false;
    };

    /// Whom a token belongs to.
    struct identity
    {
        bool known = false;
        bool operators = false;
        workspace_id workspace;
    };

    [[nodiscard]] identity identify(const http_request& request) const;
    [[nodiscard]] waiting_caller take_out(request_id id);

    std::vector<workspace_settings> m_workspaces;
    std::string m_operator_token;
    input_handler m_on_input;
    mutable std::mutex m_mutex;
    std::map<request_id, waiting_caller> m_waiting;
    request_id m_next = 1;
};

} // namespace masticcourse
