/// @file
/// Ejection of targets that fail, or take far longer than their peers.
///
/// Load pattern: a few targets fail part of their requests, hang, or alternate between working and failing
/// while their health check and registry entry are good. Without a shared detection, each gateway would lose
/// requests of its own before it avoids them.
#pragma once

#include "masticcourse/gateway/random.hpp"
#include "masticcourse/gateway/scheduling/failure_comparison.hpp"
#include "masticcourse/gateway/scheduling/outcome_window.hpp"
#include "masticcourse/gateway/target_table.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

/// Why a target is ejected.
enum class ejection_reason : std::uint8_t
{
    failures,
    latency,
};

/// A change of a target's state, for logs.
struct ejection_change
{
    target_id target;
    bool ejected = false;
    ejection_reason reason = ejection_reason::failures;
    /// How long the target is ejected.
    milliseconds period{};
};

/// Outlier detection over the targets of one service.
///
/// A target is ejected if it fails clearly more often than the others do in the same time, or if its work
/// takes several times as long as theirs for a sustained time. At most a third of the targets are ejected.
/// After its period an ejected target is half-open: it gets one probe at a time, returns after a few
/// successes, and is ejected again for twice the period by a failure.
class outlier_detection
{
  public:
    /// @param seed for the times of probes, which should differ between gateways: the first ones to probe
    /// tell the others the outcome
    explicit outlier_detection(random_seed seed = {}) : m_random(seed.value) {}

    /// Records outcomes of requests, of this gateway or of others. Refusals because of load, draining targets
    /// and requests that ended for reasons of the caller are not counted: the caller of record() leaves them
    /// out. Outcomes of an earlier instance than the known one are ignored.
    void record(const target_instance& target, const target_outcomes& outcomes, time_point now);
    /// Records outcomes that other gateways have seen, as record() does. The probe that this gateway has sent
    /// remains pending.
    void record_external(const target_instance& target, const target_outcomes& outcomes, time_point now);

    /// Evaluates the targets; called several times a second. Targets that are not in @a targets are
    /// forgotten.
    /// @param targets      the usable targets of the service
    /// @param time_factors duration of work relative to a typical target, in the order of @a targets
    /// @return ejections and returns since the last call
    std::vector<ejection_change> evaluate(const std::vector<const target*>& targets,
                                          const std::vector<double>& time_factors, time_point now);

    /// @return whether requests avoid the target
    [[nodiscard]] bool ejected(const target_instance& target, time_point now) const;
    /// @return whether one request that may be repeated should be sent to an ejected target to see whether it
    /// works again; true for one request at a time. If its outcome isn't recorded within a time limit, the
    /// next probe may be sent.
    [[nodiscard]] bool wants_probe(const target_instance& target, time_point now);
    /// @return the number of ejected targets, as of the last evaluation
    [[nodiscard]] std::size_t ejected_count() const;

  private:
    /// An ejection in progress.
    struct ejection
    {
        ejection_reason reason = ejection_reason::failures;
        /// Share of the target's work that is lost, between 0 and 1.
        double severity = 0;
        time_point half_open_at{};
        /// Outcomes of other gateways' requests and of probes.
        target_outcomes outcomes;
        /// Successes since it became half-open.
        std::uint32_t successes = 0;
        /// When this gateway may send its first probe.
        std::optional<time_point> probe_from;
        std::optional<time_point> probe_sent_at;
    };

    struct target_state
    {
        wall_time started{};
        outcome_window window;
        /// Other gateways send their outcomes.
        bool shared = false;
        /// Failures without a success in between, and when the last one was recorded.
        std::uint32_t failures_in_a_row = 0;
        time_point last_failure{};
        /// A failure was recorded since the last evaluation.
        bool failed_again = false;
        /// Since when its work takes several times as long as at the others.
        std::optional<time_point> slow_since;
        std::optional<ejection> current;
        /// Period of the last ejection; zero if it has been healthy since.
        milliseconds period{};
        ejection_reason last_reason = ejection_reason::failures;
        time_point returned_at{};
        /// A change is to be reported by the next evaluation.
        bool changed = false;
        std::uint64_t evaluation = 0;
    };

    /// A usable target in an evaluation.
    struct evaluated_target
    {
        const target_id* id = nullptr;
        target_state* state = nullptr;
        double time_factor = 1;
        outcome_window::recent_sums outcomes{};
    };

    /// A target that may be ejected.
    struct candidate
    {
        const evaluated_target* target = nullptr;
        ejection_reason reason = ejection_reason::failures;
        double severity = 0;
    };

    static void reset(target_state& state, wall_time started);
    static void eject(target_state& state, ejection_reason reason, double severity, time_point now);
    static void readmit(target_state& state, time_point now);
    void record_outcomes(target_state& state, const target_outcomes& outcomes, time_point now);
    static void record_ejected(target_state& state, const target_outcomes& outcomes, time_point now);
    static void record_closed(target_state& state, const target_outcomes& outcomes, time_point now);
    static std::optional<double> failure_severity(const evaluated_target& target,
                                                  const failure_comparison& comparison);
    static std::optional<double> latency_severity(const evaluated_target& target, double median,
                                                  time_point now);
    /// @return why the target should be ejected; nothing if it should not
    static std::optional<candidate> find_fault(const evaluated_target& target,
                                               const failure_comparison& comparison, double median,
                                               time_point now);
    /// Readmits an ejected target after enough successes, unless it is still slow.
    static void finish_probes(const evaluated_target& target, double median, time_point now);
    static void eject_worst(std::vector<candidate>& candidates, std::size_t room, time_point now);
    /// Readmits the least severe ejected targets if there are more than the limit.
    static void readmit_excess(const std::vector<evaluated_target>& targets, time_point now);

    static std::vector<ejection_change> take_changes(const std::vector<evaluated_target>& targets);

    [[nodiscard]] failure_comparison compare_failures(const std::vector<evaluated_target>& targets,
                                                      time_point now);
    /// @return the state of the instance; null if a later one is known
    [[nodiscard]] target_state* find_or_add(const target_instance& target);
    [[nodiscard]] std::vector<evaluated_target> update_states(const std::vector<const target*>& targets,
                                                              const std::vector<double>& time_factors,
                                                              time_point now);

    std::unordered_map<target_id, target_state> m_states;
    usual_failures m_usual;
    std::uint64_t m_evaluation = 0;
    std::mt19937 m_random;
};

} // namespace masticcourse::gateway
