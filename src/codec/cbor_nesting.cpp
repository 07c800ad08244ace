#include "cbor_nesting.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace masticcourse::codec
{

namespace
{

/// Exceeds the nesting of every message by far, and the stack holds as many levels. Each level takes a byte,
/// so that shorter input needs no check.
constexpr std::size_t max_nesting = 256;
/// Exceeds the items of every message by far.
constexpr std::size_t max_message_items = std::size_t{128} * 1024;
/// Items left in a level whose end is marked.
constexpr std::uint64_t until_break = std::numeric_limits<std::uint64_t>::max();

/// @name The head of an item (RFC 8949, 3)
/// @{
constexpr unsigned major_type_shift = 5;
constexpr unsigned argument_mask = 0x1f;
constexpr unsigned first_long_argument = 24;
constexpr unsigned last_long_argument = 27;
constexpr unsigned indefinite = 31;

enum class major_type : std::uint8_t
{
    positive,
    negative,
    byte_string,
    text_string,
    array,
    map,
    tag,
    simple,
};
/// @}

struct item_head
{
    major_type type = major_type::positive;
    /// Nothing if the end of the item is marked.
    std::optional<std::uint64_t> argument;
};

/// Removes the head of an item from @a rest.
/// @return nothing if it is malformed
std::optional<item_head> take_head(std::string_view& rest)
{
    const unsigned first = static_cast<unsigned char>(rest.front());
    rest.remove_prefix(1);
    item_head head{.type = static_cast<major_type>(first >> major_type_shift), .argument = {}};
    const unsigned info = first & argument_mask;
    if (info == indefinite)
    {
        return head;
    }
    if (info < first_long_argument)
    {
        head.argument = info;
        return head;
    }
    const std::size_t size = info <= last_long_argument ? std::size_t{1} << (info - first_long_argument) : 0;
    if (size == 0 || rest.size() < size)
    {
        return std::nullopt;
    }
    std::uint64_t argument = 0;
    constexpr unsigned byte_bits = 8;
    for (const char it : rest.substr(0, size))
    {
        argument = (argument << byte_bits) | static_cast<unsigned char>(it);
    }
    rest.remove_prefix(size);
    head.argument = argument;
    return head;
}

/// The levels that contain the next item.
class open_levels
{
  public:
    [[nodiscard]] std::size_t size() const
    {
        return m_left.size();
    }

    void enter(std::uint64_t items)
    {
        m_left.push_back(items);
        close_finished();
    }

    void end_item()
    {
        if (!m_left.empty() && m_left.back() != until_break)
        {
            --m_left.back();
        }
        close_finished();
    }

    void end_marked()
    {
        if (!m_left.empty())
        {
            m_left.pop_back();
            end_item();
        }
    }

  private:
    /// A level is an item of the one that contains it.
    void close_finished()
    {
        while (!m_left.empty() && m_left.back() == 0)
        {
            m_left.pop_back();
            if (!m_left.empty() && m_left.back() != until_break)
            {
                --m_left.back();
            }
        }
    }

    std::vector<std::uint64_t> m_left;
};

/// @return the items in a level
std::uint64_t item_count(const item_head& head)
{
    if (!head.argument)
    {
        return until_break;
    }
    const auto per_entry = head.type == major_type::map ? std::uint64_t{2} : std::uint64_t{1};
    return std::min(*head.argument, until_break / 2 - 1) * per_entry;
}

/// @return whether neither the levels nor @a max_items are exceeded
bool is_bounded(std::string_view bytes, std::size_t max_items)
{
    if (bytes.size() <= max_nesting)
    {
        return true;
    }
    open_levels levels;
    std::size_t items = 0;
    while (!bytes.empty() && levels.size() <= max_nesting)
    {
        if (++items > max_items)
        {
            return false;
        }
        const auto head = take_head(bytes);
        if (!head || head->type == major_type::tag)
        {
            // The parser stops here.
            return true;
        }
        const bool is_string = head->type == major_type::byte_string || head->type == major_type::text_string;
        if (head->type == major_type::simple && !head->argument)
        {
            levels.end_marked();
        }
        else if (head->type == major_type::array || head->type == major_type::map ||
                 (is_string && !head->argument))
        {
            levels.enter(item_count(*head));
        }
        else
        {
            const auto text = is_string ? *head->argument : 0;
            bytes.remove_prefix(std::min<std::uint64_t>(text, bytes.size()));
            levels.end_item();
        }
    }
    return levels.size() <= max_nesting;
}

} // namespace

bool has_bounded_nesting(std::string_view bytes)
{
    return is_bounded(bytes, std::numeric_limits<std::size_t>::max());
}

bool is_bounded_message(std::string_view bytes)
{
    return is_bounded(bytes, max_message_items);
}

} // namespace masticcourse::codec
