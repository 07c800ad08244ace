#include "masticcourse/core/ids.hpp"

#include <xxhash.h>

#include <string_view>

namespace masticcourse
{

shard_index shard_of(const program_id& id, shard_index shard_count)
{
    const auto root = std::string_view{id.value}.substr(0, id.value.find(sub_agent_separator));
    return static_cast<shard_index>(XXH64(root.data(), root.size(), 0) % shard_count);
}

} // namespace masticcourse
