/// @file
/// Executes store operations over HTTP against the platform's table service and object store.
#pragma once

#include "masticcourse/store/store_op.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace masticcourse
{

class http_client;

/// A client of the platform's store. It never retries a write; if no response arrives, the reply has the
/// status store_status::outcome_unknown.
class store_client
{
  public:
    using reply_callback = std::function<void(store_reply)>;

    /// @param client  sends the requests; must outlive this object
    /// @param address address of the platform's service, as "ip:port"
    store_client(http_client& client, std::string address);

    /// Executes @a op and calls @a on_reply exactly once, on an I/O thread.
    void run(const store_op& op, std::chrono::milliseconds timeout, reply_callback on_reply);

  private:
    http_client& m_client;
    std::string m_address;
};

} // namespace masticcourse
