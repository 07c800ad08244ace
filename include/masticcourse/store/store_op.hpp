/// @file
/// What the control cores ask of the platform's table and object store, as values: the process sends them
/// over HTTP, tests answer them with a fake.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace masticcourse
{

/// The version of a row; 0 means that there is no such row.
using row_version = std::uint64_t;

/// @name Operations
/// @{

/// Reads one row.
struct table_get
{
    std::string key;
};

/// Writes a row if its version is still @a expected (0: if it does not exist).
struct table_put
{
    std::string key;
    std::string value;
    row_version expected = 0;
};

/// Lists the rows whose keys begin with @a prefix.
struct table_list
{
    std::string prefix;
};

/// Creates an object; fails with `conflict` if one of that key exists.
struct object_create
{
    std::string key;
    std::string bytes;
};

struct object_get
{
    std::string key;
};

/// Deletes an object; one that does not exist counts as deleted.
struct object_delete
{
    std::string key;
};

/// Lists the keys of objects that begin with @a prefix.
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
    /// The condition of a write did not hold: nothing was written.
    conflict,
    not_found,
    /// Refused (outage, rate limit): nothing was written.
    unavailable,
    /// No answer: a write may have taken effect or not.
    outcome_unknown,
};

struct table_row
{
    std::string key;
    std::string value;
    row_version version = 0;

    friend bool operator==(const table_row&, const table_row&) = default;
};

/// The answer to one operation.
struct store_reply
{
    store_status status = store_status::ok;
    /// The row's new or present version (`table_get`, `table_put`).
    row_version version = 0;
    /// The row's value or the object's bytes.
    std::string value;
    /// The rows of a `table_list`; for an `object_list` only the keys are set.
    std::vector<table_row> rows;
};

} // namespace masticcourse
