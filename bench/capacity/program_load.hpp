/// @file
/// Simple callers that bring programs of a known number and length into a world.
#pragma once

#include "support/system_world.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace masticcourse::capacity
{

/// Programs whose turns are all of one size.
class program_load
{
  public:
    /// @param input_bytes the length of each call's input
    explicit program_load(tests::system_world& world, std::size_t input_bytes = 400);

    /// Creates programs at one entry and waits until all stand.
    /// @exception std::runtime_error if that takes too long
    void create(std::size_t programs);

    /// Lets every program take so many turns more, one after the other, and waits for all.
    /// @param pace the time between the starts of two programs
    /// @exception std::runtime_error if that takes too long
    void run_turns(std::size_t turns, core_duration pace);

    /// Begins what `run_turns` does, with a pause after each turn, and does not wait.
    void start_turns(std::size_t turns, core_duration pace, core_duration pause);

    [[nodiscard]] std::size_t refusals() const;
    [[nodiscard]] std::size_t turns_taken() const;

  private:
    struct row
    {
        program_id id;
        std::size_t turns = 0;
        std::size_t wanted = 0;
    };

    void send_create(std::size_t number);
    void send_turn(std::size_t number);
    [[nodiscard]] bool all_done() const;

    tests::system_world& m_world;
    std::size_t m_input_bytes;
    std::vector<row> m_rows;
    core_duration m_pause{};
    std::size_t m_refusals = 0;
};

} // namespace masticcourse::capacity
