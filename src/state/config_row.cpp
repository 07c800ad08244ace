#include "masticcourse/state/config_row.hpp"

#include "../codec/json_text.hpp"

namespace masticcourse
{

template <codec::maybe_const<accepted_patch> T>
auto members(T& it)
{
    return std::tie(it.id, it.version);
}

std::string encode(const config_row& row)
{
    const codec::writer write;
    return codec::json{{"version", row.version}, {"document", row.document}, {"patches", write(row.patches)}}
        .dump();
}

std::optional<config_row> decode_config_row(const std::string& text)
{
    const auto object = codec::parse_json_object(text);
    if (!object)
    {
        return std::nullopt;
    }
    codec::reader in;
    config_row result;
    codec::read_member(in, *object, "version", result.version);
    codec::read_member(in, *object, "document", result.document);
    codec::read_member(in, *object, "patches", result.patches);
    return in.ok() ? std::optional(std::move(result)) : std::nullopt;
}

} // namespace masticcourse
