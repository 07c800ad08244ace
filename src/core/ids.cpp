#include "masticcourse/core/ids.hpp"

#include <xxhash.h>

namespace masticcourse
{

shard_index shard_of(const program_id& id, shard_index shard_count)
{
    return static_cast<shard_index>(XXH64(id.value.data(), id.value.size(), 0) % shard_count);
}

} // namespace masticcourse
