/// @file
/// Operations of the control cores on the platform's table and object store, as plain values. A process sends
/// them over HTTP; tests execute them against a fake.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace masticcourse
{

/// The version of a row; 0 means that the row does not exist.
using row_version = std::uint64_t;

/// @name Operations
/// @{

/// Reads one row.
struct table_get
{
    std::string key;
};

/// Writes a row if its current version is @a expected; 0 requires that the row does not exist.
struct table_put
{
    std::string key;
    std::string value;
    row_version expected = 0;
};

/// Lists the rows whose keys start with @a prefix.
struct table_list
{
    std::string prefix;
};

/// Creates an object; fails with `conflict` if an object with that key exists.
struct object_create
{
    std::string key;
    std::string bytes;
};

struct object_get
{
    std::string key;
};

/// Deletes an object; succeeds if it does not exist.
struct object_delete
{
    std::string key;
};

/// Lists the keys of objects that start with @a prefix.
struct object_list
{
    std::string prefix;
};
/// @}

using store_op =
    std::variant<table_get, table_put, table_list, object_create, object_get, object_delete, object_list>;

enum class store_status : std::uint8_t
{
    ok,
    /// The precondition of a write failed; nothing was written.
    conflict,
    not_found,
    /// The request was rejected (outage, rate limit); nothing was written.
    unavailable,
    /// No usable response; a write may or may not have taken effect.
    outcome_unknown,
};

struct table_row
{
    std::string key;
    std::string value;
    row_version version = 0;

    friend bool operator==(const table_row&, const table_row&) = default;
};

/// The reply to one operation.
struct store_reply
{
    store_status status = store_status::ok;
    /// The new or current version of the row (`table_get`, `table_put`).
    row_version version = 0;
    /// The value of the row or the bytes of the object.
    std::string value;
    /// The rows found by `table_list`; for `object_list`, only the keys are set.
    std::vector<table_row> rows;
};

} // namespace masticcourse
