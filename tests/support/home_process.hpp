/// @file
/// A small home for programs, made of the state machines under test and nothing else.
#pragma once

#include "faulty_store.hpp"
#include "state_oracle.hpp"

#include "masticcourse/state/budget_ledger.hpp"
#include "masticcourse/state/journal_cleaner.hpp"
#include "masticcourse/state/journal_writer.hpp"
#include "masticcourse/state/program_state.hpp"
#include "masticcourse/state/shard_claim.hpp"
#include "masticcourse/state/shard_update.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::tests
{

/// A call on its way to the target.
struct target_call
{
    program_id program;
    program_id root;
    token_count budget = 0;
    call_key key;
    bool idempotent = true;
    token_count cost = 0;
    shard_index shard = 0;
    epoch_number epoch = 0;
};

/// What a home has around it.
struct home_environment
{
    standins::faulty_store* store = nullptr;
    core_time* now = nullptr;
    state_oracle* oracle = nullptr;
    std::function<bool(const shard_row&)> may_take;
    std::function<void(const std::shared_ptr<class home_process>&, const target_call&)> dispatch;
    /// Asks the target about a call; a call that has not run is refused from then on.
    /// @return whether it ran
    std::function<bool(const target_call&)> ask;
};

/// One life of a home.
class home_process : public std::enable_shared_from_this<home_process>
{
  public:
    home_process(incarnation_id incarnation, home_environment environment);

    /// Lets all state machines do what they can now.
    void tick();

    /// @name What the test makes it do
    /// @{
    void claim(shard_index shard);
    void create_program(shard_index shard, const program_id& program, const program_id& parent,
                        token_count budget);
    /// Begins the program's next turn, unless one is under way or the budget is used up.
    void begin_turn(const program_id& program, const call_key& key, bool idempotent, token_count cost);
    void checkpoint(shard_index shard);
    void release(shard_index shard);
    void clean(const incarnation_id& journal);
    /// @}

    /// @name What the target tells it
    /// @{
    void on_finished(const target_call& call);
    void on_refused(const target_call& call);
    /// @}

    /// Runs @a event now, or when the process is no longer frozen.
    void receive(std::function<void()> event);
    void freeze();
    void thaw();

    [[nodiscard]] bool sealed() const;
    [[nodiscard]] bool owns(shard_index shard) const;
    [[nodiscard]] bool busy() const;
    [[nodiscard]] const incarnation_id& incarnation() const;
    [[nodiscard]] std::vector<program_id> programs() const;
    [[nodiscard]] const program_table& table() const;
    [[nodiscard]] shard_index shard_of(const program_id& program) const;

  private:
    struct owned_shard
    {
        shard_row row;
        row_version version = 0;
        journal_ticket last_ticket = 0;
        /// Set while a checkpoint or a release waits for its records or its write.
        std::optional<journal_ticket> update_after;
        bool releasing = false;
        std::uint64_t checkpoint_from = 0;
        std::shared_ptr<shard_update> update;
    };

    struct running_call
    {
        target_call call;
        std::optional<reservation> held;
    };

    template <typename Machine>
    void pump_machine(const std::shared_ptr<Machine>& machine);
    void run_durable();
    void finish_claims();
    void adopt(const shard_claim& claim);
    void settle_intent(const call_intended& intent);
    void update_shards();
    /// Whether the call has been answered, or may have been sent by a former home.
    [[nodiscard]] bool knows(const program_id& program, const call_key& key) const;
    void advance_call(running_call& running);
    void send_call(const program_id& program);
    void commit_turn(const target_call& call);
    journal_ticket append(shard_index shard, const journal_payload& payload);
    budget_ledger& ledger_of(const program_id& program);
    [[nodiscard]] program_id root_of(const program_id& program) const;
    [[nodiscard]] bool shard_busy(shard_index shard) const;
    [[nodiscard]] target_call call_for(const program_id& program, const call_key& key) const;

    incarnation_id m_incarnation;
    home_environment m_env;
    std::shared_ptr<journal_writer> m_journal;
    std::shared_ptr<recovered_journals> m_recovered;
    std::shared_ptr<journal_cleaner> m_cleaner;
    std::map<shard_index, std::shared_ptr<shard_claim>> m_claims;
    std::map<shard_index, owned_shard> m_owned;
    program_table m_table;
    std::map<program_id, shard_index> m_shard_of;
    std::map<program_id, budget_ledger> m_ledgers;
    std::map<program_id, running_call> m_running;
    std::deque<std::pair<journal_ticket, std::function<void()>>> m_on_durable;
    std::vector<std::function<void()>> m_inbox;
    bool m_frozen = false;
    /// Another home has one of our shards: stop, as after a seal.
    bool m_lost = false;
};

/// @return what the target answers to a call: the same for the same call
[[nodiscard]] std::string target_output(const program_id& program, const call_key& key);

} // namespace masticcourse::tests
