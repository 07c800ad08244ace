/// @file
/// Which targets are likely to have which parts of prompts in their cache, from the requests that this
/// gateway has sent to them.
#pragma once

#include "masticcourse/gateway/gateway_request.hpp"
#include "masticcourse/gateway/target_table.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstddef>
#include <span>

namespace masticcourse::gateway
{

class prompt_locations
{
  public:
    /// @param max_parts number of prompt parts remembered; the least recently used ones are forgotten
    explicit prompt_locations(std::size_t max_parts);

    /// Records that a target has read a prompt and generated output, which extends the last part.
    void record(const target_instance& target, std::span<const prompt_part> prompt, token_count output,
                time_point now);

    /// @return the number of tokens at the start of the prompt that the target is likely to have cached
    [[nodiscard]] token_count cached_tokens(const target_instance& target,
                                            std::span<const prompt_part> prompt, time_point now) const;

  private:
    // State to be defined by the implementation.
};

} // namespace masticcourse::gateway
