/// @file
/// The exchange that an HTTP session passes to the handler of a request.
#pragma once

#include "masticcourse/net/http_server.hpp"

#include <cstdint>
#include <memory>

namespace masticcourse::detail
{

class http_session;

/// @param number the number of the request among those of the session
/// @return an exchange that references the session weakly, because the session must not outlive the I/O
/// context
[[nodiscard]] std::shared_ptr<http_exchange> make_session_exchange(std::weak_ptr<http_session> session,
                                                                   std::uint64_t number);

/// @return the part of the request's body that the session has not read yet
[[nodiscard]] std::shared_ptr<http_body_source> make_session_body(std::weak_ptr<http_session> session,
                                                                  std::uint64_t number);

} // namespace masticcourse::detail
