#include "cbor.hpp"

#include "cbor_nesting.hpp"

#include <iterator>

namespace masticcourse::codec
{

namespace
{

/// Exceeds the nesting depth of every message. The limit keeps malicious input from exhausting the stack.
constexpr std::size_t max_nesting_depth = 16;

/// Validates a CBOR item without building a DOM.
class cbor_validator : public nlohmann::json_sax<json>
{
  public:
    bool null() override
    {
        return true;
    }

    bool boolean(bool /*value*/) override
    {
        return true;
    }

    bool number_integer(number_integer_t /*value*/) override
    {
        return true;
    }

    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return true;
    }

    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override
    {
        return true;
    }

    bool string(string_t& /*value*/) override
    {
        return true;
    }

    /// No message type contains binary values.
    bool binary(binary_t& /*value*/) override
    {
        return false;
    }

    /// No message type contains maps.
    bool start_object(std::size_t /*elements*/) override
    {
        return false;
    }

    bool key(string_t& /*value*/) override
    {
        return false;
    }

    bool end_object() override
    {
        return false;
    }

    bool start_array(std::size_t /*elements*/) override
    {
        ++m_depth;
        return m_depth <= max_nesting_depth;
    }

    bool end_array() override
    {
        --m_depth;
        return true;
    }

    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const json::exception& /*error*/) override
    {
        return false;
    }

  private:
    std::size_t m_depth = 0;
};

} // namespace

std::string to_cbor(const json& value)
{
    std::string result;
    json::to_cbor(value, result);
    return result;
}

std::optional<json> from_cbor(std::string_view bytes)
{
    if (!has_bounded_nesting(bytes))
    {
        return std::nullopt;
    }
    try
    {
        cbor_validator validator;
        if (!json::sax_parse(bytes, &validator, json::input_format_t::cbor))
        {
            return std::nullopt;
        }
        json result = json::from_cbor(bytes, true, false);
        return result.is_discarded() ? std::nullopt : std::optional<json>(std::move(result));
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace masticcourse::codec
