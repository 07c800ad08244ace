/// @file
/// One operator's patch against a numbered version of the configuration.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/state/config_row.hpp"
#include "masticcourse/state/store_retry.hpp"
#include "masticcourse/store/store_op.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace masticcourse
{

enum class patch_state : std::uint8_t
{
    pending,
    /// In force as `row().version`.
    accepted,
    /// Another version than the named one is in force: `row().version`. Nothing was changed.
    conflict,
    /// The patched document is invalid. Nothing was changed.
    rejected,
    /// The row can't be read as a good one. Nothing was changed.
    damaged_row,
    /// So many patches followed that nobody can tell any more whether this one was among them.
    unknown,
};

/// The state machine of one patch. The caller gives it up when its deadline passes.
class config_patch
{
  public:
    /// @return the patched document, or nothing if it would be invalid
    using document_patch = std::function<std::optional<std::string>(const std::string& document)>;

    /// @param base  the version that the patch names
    /// @param id    the patch's own id, unique; the same id again gives the same answer
    config_patch(config_version base, std::string id, document_patch patch, retry_options retry);

    [[nodiscard]] std::optional<store_op> poll(core_time now);
    void on_reply(const store_reply& reply, core_time now);
    [[nodiscard]] core_time next_wakeup() const;

    [[nodiscard]] patch_state state() const;

    /// Whether the patch may have been accepted, or still be, if it is given up now.
    [[nodiscard]] bool may_be_accepted() const;

    /// @return the row as last read or written
    [[nodiscard]] const config_row& row() const;

  private:
    void on_row_read(const store_reply& reply);
    void on_row_written(const store_reply& reply);
    [[nodiscard]] patch_state judge() const;

    config_version m_base;
    std::string m_id;
    document_patch m_patch;
    store_exchange m_exchange;
    patch_state m_state = patch_state::pending;
    config_row m_row;
    row_version m_version = 0;
    std::optional<config_row> m_next;
    bool m_unanswered_write = false;
};

} // namespace masticcourse
