/// @file
/// How long work takes at each target of a service compared with its peers.
///
/// Load pattern: targets of one service differ in speed by a factor of two and more, and each slows down for
/// moments. If requests are spread by their number alone, a slow target gets as many as a fast one, and every
/// program that meets it is late.
#pragma once

#include "masticcourse/gateway/target_table.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstdint>
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
    void record_stream(const target_instance& target, const stream_sample& sample, time_point now);
    /// @param kind requests of different kinds, such as routes, are not compared with each other
    void record_response(const target_instance& target, std::string_view kind, duration response_time,
                         time_point now);
    /// Records the time factor that a target reported.
    void report_time_factor(const target_instance& target, double factor, time_point now);

    /// @return the duration of work at the target now, relative to a typical target; 1 if unknown
    [[nodiscard]] double time_factor(const target_instance& target, time_point now) const;
    /// @return whether any target of the service has reported a time factor within the last seconds
    [[nodiscard]] bool reports_time_factors(time_point now) const;
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

  private:
    // State to be defined by the implementation.
};

} // namespace masticcourse::gateway
