#include "masticcourse/state/shard_row.hpp"

#include "../codec/json_text.hpp"

namespace masticcourse
{

template <codec::maybe_const<journal_part> T>
auto members(T& it)
{
    return std::tie(it.journal, it.from_index, it.until);
}

std::string shard_key(shard_index shard)
{
    return std::string(shard_key_prefix) + std::to_string(shard);
}

std::string encode(const shard_row& row)
{
    const codec::writer write;
    return codec::json{{"shard", row.shard},
                       {"epoch", row.epoch},
                       {"owner", row.owner.value},
                       {"owner_name", row.owner_name.value},
                       {"owner_address", row.owner_address},
                       {"parts", write(row.parts)}}
        .dump();
}

std::optional<shard_row> decode_shard_row(const std::string& text)
{
    const auto object = codec::parse_json_object(text);
    if (!object)
    {
        return std::nullopt;
    }
    codec::reader in;
    shard_row result;
    codec::read_member(in, *object, "shard", result.shard);
    codec::read_member(in, *object, "epoch", result.epoch);
    codec::read_member(in, *object, "owner", result.owner);
    codec::read_member(in, *object, "owner_name", result.owner_name);
    codec::read_member(in, *object, "owner_address", result.owner_address);
    codec::read_member(in, *object, "parts", result.parts);
    return in.ok() ? std::optional(std::move(result)) : std::nullopt;
}

} // namespace masticcourse
