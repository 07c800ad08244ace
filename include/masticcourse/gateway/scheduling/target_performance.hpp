/// @file
/// How long work takes at each target of a service compared with its peers.
///
/// Load pattern: targets of one service differ in speed by a factor of two and more, and each is slower for
/// short phases. If requests are spread by their number alone, a slow target gets as many as a fast one, and
/// every program with a turn there is late.
#pragma once

#include "masticcourse/gateway/scheduling/output_length_model.hpp"
#include "masticcourse/gateway/scheduling/running_mean.hpp"
#include "masticcourse/gateway/target_table.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace masticcourse::gateway
{

/// Duration of work at a typical target of a service, without waiting.
struct service_profile
{
    /// From sending a request to its first event, for a prompt of typical length.
    duration first_event{};
    /// Between two output tokens.
    duration output_token{};
    /// Whole response of a plain service.
    duration response{};
};

/// A completed stream as seen by the gateway.
struct stream_sample
{
    /// From sending the request to the first event.
    duration first_event{};
    /// From the first event to the last.
    duration output_time{};
    /// Tokens generated after the first event.
    token_count output_tokens = 0;
    /// Time factor that the target reported with the response.
    std::optional<double> time_factor;
};

/// Performance of the targets of one service.
class target_performance
{
  public:
    /// Records a completed stream.
    void record_stream(const target_instance& target, const stream_sample& sample, time_point now);
    /// Records a complete response of a plain service.
    /// @param kind requests of different kinds, such as routes, are not compared with each other
    void record_response(const target_instance& target, std::string_view kind, duration response_time,
                         time_point now);
    /// Records the time factor that a target reported.
    void report_time_factor(const target_instance& target, double factor, time_point now);

    /// @return the duration of work at the target now, relative to a typical target; 1 if unknown
    [[nodiscard]] double time_factor(const target_instance& target, time_point now) const;
    /// @return whether any target of the service has reported a time factor within the last seconds
    [[nodiscard]] bool reports_time_factors(time_point now) const;
    /// @return durations at a typical target; zero where unknown
    [[nodiscard]] service_profile profile() const;

    /// Records the output of a finished request.
    /// @param kind     requests of different kinds, such as routes, have different lengths
    /// @param estimate the caller's hint, or the maximum if there is none
    void record_output(std::string_view kind, token_count estimate, token_count actual);
    /// @return the expected output of a request
    [[nodiscard]] token_count expected_output(std::string_view kind, std::optional<token_count> hint,
                                              token_count max_output) const;

    /// Forgets targets that are no longer in the registry.
    void retain(const target_table& targets);

    /// @return how often the medians over all targets were computed
    [[nodiscard]] std::size_t typical_updates() const
    {
        return m_typical_updates;
    }
    /// @return the number of targets with state
    [[nodiscard]] std::size_t size() const
    {
        return m_targets.size();
    }

  private:
    /// Times are in milliseconds, divided by the time factor that the target reported.
    struct target_state
    {
        /// The means cover about ten samples and twenty reports, so that they follow a target that changes.
        static constexpr double min_gain = 0.1;
        static constexpr double max_weight = 20;
        static constexpr double min_report_gain = 0.05;

        wall_time started{};
        running_mean output_token{min_gain, max_weight};
        running_mean first_event{min_gain, max_weight};
        running_mean response{min_gain, max_weight};
        /// Response time relative to the mean of its kind.
        running_mean response_ratio{min_gain, max_weight};
        time_point sampled_at{};
        running_mean reported{min_report_gain, max_weight};
        double last_reported = 1;
        time_point reported_at{};
    };

    /// Medians over the targets, in milliseconds; 0 if unknown.
    struct typical_target
    {
        double output_token = 0;
        double first_event = 0;
        double response = 0;
        double response_ratio = 0;
        /// Time factor that targets report; 1 if none does.
        double reported = 1;
    };

    /// Requests of one kind, such as those of a route.
    struct kind_state
    {
        /// The mean covers about fifty responses, which come from all targets.
        static constexpr double min_gain = 0.02;
        static constexpr double max_weight = 50;

        running_mean response{min_gain, max_weight};
        output_length_model output;
        std::uint64_t last_use = 0;
    };

    [[nodiscard]] const target_state* find(const target_instance& target) const;
    /// @return the state of the instance; null if a later one is known or too many targets are
    [[nodiscard]] target_state* find_or_add(const target_instance& target);
    [[nodiscard]] kind_state& kind_of(std::string_view kind);
    [[nodiscard]] double measured_factor(const target_state& state, time_point now) const;
    void sampled(target_state& state, time_point now);
    void update_typical(time_point now);
    [[nodiscard]] double median(running_mean target_state::*value) const;

    std::unordered_map<target_id, target_state> m_targets;
    std::map<std::string, kind_state, std::less<>> m_kinds;
    std::uint64_t m_kind_uses = 0;
    typical_target m_typical;
    time_point m_typical_at{};
    std::uint64_t m_samples = 0;
    /// Number of samples at the last update of m_typical.
    std::uint64_t m_typical_samples = 0;
    std::size_t m_typical_updates = 0;
    std::optional<time_point> m_last_report;
};

} // namespace masticcourse::gateway
