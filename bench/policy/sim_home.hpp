/// @file
/// A home's decisions over its lagging view of the targets: the real placement, trackers, breakers and
/// budgets.
#pragma once

#include "masticcourse/policy/circuit_breaker.hpp"
#include "masticcourse/policy/load_tracker.hpp"
#include "masticcourse/policy/overload.hpp"
#include "masticcourse/policy/pause_estimator.hpp"
#include "masticcourse/policy/placement.hpp"
#include "masticcourse/policy/retry.hpp"
#include "system_options.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace masticcourse::bench
{

/// What a home is asked to place.
struct home_query
{
    program_id program;
    /// The program whose prefix a new sub-agent begins with.
    program_id parent;
    token_count prompt_tokens = 0;
    token_count expected_completion = 0;
    service_class priority = service_class::standard;
    bool first_turn = false;
    std::optional<std::size_t> last;
};

class sim_home
{
  public:
    sim_home(const system_options& system, std::size_t targets, failure_domain_name own_domain);

    /// @return when to come back if the call is refused at the edge
    [[nodiscard]] std::optional<core_duration> refuse(const home_query& query, core_time now);

    [[nodiscard]] std::optional<placement_choice> place(const home_query& query, core_time now);

    /// @return tokens of the program that @a target is believed to hold
    [[nodiscard]] token_count believed_at(const home_query& query, std::size_t target) const;

    void on_report(std::size_t target, const target_load& load, core_time now);
    void on_cache(std::size_t target, const target_cache& cache);
    void on_sent(std::size_t target, const call_ref& call, token_count prefill, token_count decode,
                 core_time now);
    void on_finished(std::size_t target, const call_ref& call, token_count held, core_time now);
    void on_failed(std::size_t target, const call_ref& call, core_time now);
    void on_program_end(const program_id& program);

    /// The connection to a target is lost or there again, or it says that it leaves.
    void set_connected(std::size_t target, bool connected, failure_domain_name domain);

    [[nodiscard]] retry_budget& retries()
    {
        return m_retries;
    }

    [[nodiscard]] pause_estimator& pauses()
    {
        return m_pauses;
    }

  private:
    struct target_state
    {
        load_tracker tracker;
        circuit_breaker breaker;
        bool connected = true;
    };

    void refresh(core_time now);
    [[nodiscard]] std::vector<cached_prefix> believed(const home_query& query) const;
    void ended(std::size_t target, const call_ref& call);

    const system_options& m_system;
    failure_domain_name m_own_domain;
    std::vector<target_view> m_views;
    std::vector<target_state> m_targets;
    std::unordered_map<program_id, std::vector<cached_prefix>> m_cached;
    retry_budget m_retries;
    pause_estimator m_pauses;
    std::uint64_t m_sequence = 0;
};

} // namespace masticcourse::bench
