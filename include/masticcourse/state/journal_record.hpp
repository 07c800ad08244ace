/// @file
/// The records of the durable journal and the entries that carry them in groups.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/model/call.hpp"

#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

namespace masticcourse
{

/// @name Records
/// @{

struct program_created
{
    program_id program;
    program_spec spec;
    friend bool operator==(const program_created&, const program_created&) = default;
};

/// From here on a successor counts @a total tokens of the program's budget as spent or reserved.
struct escrow_taken
{
    program_id program;
    token_count total = 0;
    friend bool operator==(const escrow_taken&, const escrow_taken&) = default;
};

/// A non-idempotent call is about to be sent to one incarnation of a target process.
struct call_intended
{
    program_id program;
    call_request request;
    process_name target;
    incarnation_id target_incarnation;
    friend bool operator==(const call_intended&, const call_intended&) = default;
};

/// A turn is over; its outcome is part of the history.
struct turn_committed
{
    program_id program;
    turn finished;
    /// Tokens of the budget spent up to and including this turn.
    token_count spent = 0;
    friend bool operator==(const turn_committed&, const turn_committed&) = default;
};

/// An intended call is known not to have run, and never will run under that intent.
struct intent_withdrawn
{
    program_id program;
    call_key key;
    friend bool operator==(const intent_withdrawn&, const intent_withdrawn&) = default;
};

struct program_ended
{
    program_id program;
    friend bool operator==(const program_ended&, const program_ended&) = default;
};

/// Says nothing; once it is durable, its writer still owned its journal when it was written.
struct ownership_probe
{
    friend bool operator==(const ownership_probe&, const ownership_probe&) = default;
};

/// The whole state of one program, written by a checkpoint or a takeover.
struct program_snapshot
{
    program_id program;
    program_spec spec;
    token_count spent = 0;
    token_count escrow = 0;
    bool ended = false;
    std::vector<turn> turns;
    std::vector<call_intended> intents;
    friend bool operator==(const program_snapshot&, const program_snapshot&) = default;
};
/// @}

using journal_payload = std::variant<program_created, escrow_taken, call_intended, turn_committed,
                                     intent_withdrawn, program_ended, program_snapshot, ownership_probe>;

/// The shard of records that are about a journal itself and belong to no program.
inline constexpr shard_index no_shard = std::numeric_limits<shard_index>::max();

/// One record, with the shard and the epoch that its writer believed in.
struct journal_record
{
    shard_index shard = 0;
    epoch_number epoch = 0;
    journal_payload payload;
    friend bool operator==(const journal_record&, const journal_record&) = default;
};

/// One object of the journal: a group of records, or the seal that ends a journal for good.
struct journal_entry
{
    /// Whose journal this is.
    incarnation_id journal;
    /// Who wrote the entry; differs from @a journal only for a seal.
    incarnation_id writer;
    /// The entry's place in the journal, from 1.
    std::uint64_t index = 0;
    bool seal = false;
    std::vector<journal_record> records;
    friend bool operator==(const journal_entry&, const journal_entry&) = default;
};

/// @return the object key of entry @a index of a journal; keys sort in order of index
[[nodiscard]] std::string journal_key(const incarnation_id& journal, std::uint64_t index);

/// @return the entry as bytes: a versioned header, a checksum, and CBOR
[[nodiscard]] std::string encode(const journal_entry& entry);

/// Why an entry could not be read.
enum class journal_damage : std::uint8_t
{
    none,
    truncated,
    wrong_magic,
    unknown_version,
    wrong_checksum,
    malformed,
};

/// An entry, or why there is none. A damaged entry is never read as a good one.
struct decoded_entry
{
    journal_damage damage = journal_damage::none;
    journal_entry entry;
};

[[nodiscard]] decoded_entry decode_entry(const std::string& bytes);

} // namespace masticcourse
