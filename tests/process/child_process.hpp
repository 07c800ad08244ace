/// @file
/// One process that a test starts and ends, with its output in a log file.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace masticcourse::tests
{

/// A child of the test. The product itself starts no process.
class child_process
{
  public:
    /// Starts a program of the build.
    /// @param log       takes the standard output and error
    /// @param program   the name of the executable in the build folder
    /// @param arguments without the program's name
    /// @throws std::system_error if it can't be started
    child_process(std::string log, const std::string& program, const std::vector<std::string>& arguments);
    child_process(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process& operator=(child_process&&) = delete;
    /// Kills the process if it still runs.
    ~child_process();

    /// Sends a signal, unless the process has ended.
    void signal(int number);

    /// Sends SIGKILL and waits for the end.
    void kill();

    /// @return whether the process has not ended
    [[nodiscard]] bool running();

    /// @return the exit code once the process has ended by itself
    [[nodiscard]] std::optional<int> exit_code();

    /// @return the last lines of the log
    [[nodiscard]] std::string log_tail() const;

  private:
    void reap(int options);

    std::string m_log;
    pid_t m_pid = 0;
    bool m_ended = false;
    int m_wait_status = 0;
};

} // namespace masticcourse::tests
