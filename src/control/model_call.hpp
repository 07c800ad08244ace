/// @file
/// A call of a model engine over HTTP: a stream of tokens that is resumed where it broke off.
#pragma once

#include "backend_call.hpp"

#include <memory>

namespace masticcourse::detail
{

[[nodiscard]] std::shared_ptr<backend_call> make_model_call(backend_tools tools, engine_start order);

} // namespace masticcourse::detail
