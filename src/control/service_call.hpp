/// @file
/// A call of a plain service over HTTP: sent once, never again.
#pragma once

#include "backend_call.hpp"

#include <memory>

namespace masticcourse::detail
{

[[nodiscard]] std::shared_ptr<backend_call> make_service_call(backend_tools tools, engine_start order);

} // namespace masticcourse::detail
