/// @file
/// JSON text to the RPC library's values and back.
#pragma once

#include <jsonrpccpp/common/jsonparser.h>

#include <string>

namespace masticcourse
{
namespace detail
{

/// @return false if @a text is no JSON document
bool parse_json(const std::string& text, Json::Value& value);

/// @return the value without white space
std::string write_json(const Json::Value& value);

} // namespace detail
} // namespace masticcourse
