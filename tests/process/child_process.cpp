#include "child_process.hpp"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace masticcourse::tests
{

namespace
{

constexpr mode_t log_mode = 0600;
constexpr std::size_t tail_bytes = 4000;

/// The files that a child starts with.
class file_actions
{
  public:
    explicit file_actions(const std::string& log)
    {
        ::posix_spawn_file_actions_init(&m_actions);
        ::posix_spawn_file_actions_addopen(&m_actions, STDOUT_FILENO, log.c_str(),
                                           O_WRONLY | O_CREAT | O_APPEND, log_mode);
        ::posix_spawn_file_actions_adddup2(&m_actions, STDOUT_FILENO, STDERR_FILENO);
    }
    file_actions(const file_actions&) = delete;
    file_actions(file_actions&&) = delete;
    file_actions& operator=(const file_actions&) = delete;
    file_actions& operator=(file_actions&&) = delete;
    ~file_actions()
    {
        ::posix_spawn_file_actions_destroy(&m_actions);
    }

    [[nodiscard]] const posix_spawn_file_actions_t* get() const
    {
        return &m_actions;
    }

  private:
    posix_spawn_file_actions_t m_actions{};
};

} // namespace

child_process::child_process(std::string log, const std::string& program,
                             const std::vector<std::string>& arguments)
    : m_log(std::move(log))
{
    std::vector<std::string> words{std::string{MASTICCOURSE_BINARY_DIR} + "/" + program};
    std::ranges::copy(arguments, std::back_inserter(words));
    std::vector<char*> pointers;
    std::ranges::transform(words, std::back_inserter(pointers), [](std::string& it) { return it.data(); });
    pointers.push_back(nullptr);
    const file_actions actions{m_log};
    const int error =
        ::posix_spawn(&m_pid, words.front().c_str(), actions.get(), nullptr, pointers.data(), environ);
    if (error != 0)
    {
        throw std::system_error{error, std::generic_category(), words.front()};
    }
}

child_process::~child_process()
{
    kill();
}

void child_process::signal(int number)
{
    if (running())
    {
        ::kill(m_pid, number);
    }
}

void child_process::kill()
{
    signal(SIGKILL);
    reap(0);
}

bool child_process::running()
{
    reap(WNOHANG);
    return !m_ended;
}

std::optional<int> child_process::exit_code()
{
    if (running() || !WIFEXITED(m_wait_status))
    {
        return std::nullopt;
    }
    return WEXITSTATUS(m_wait_status);
}

std::string child_process::log_tail() const
{
    std::ifstream file{m_log};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    return text.substr(text.size() - std::min(text.size(), tail_bytes));
}

void child_process::reap(int options)
{
    if (m_ended)
    {
        return;
    }
    pid_t found = 0;
    do
    {
        found = ::waitpid(m_pid, &m_wait_status, options);
    } while (found < 0 && errno == EINTR);
    m_ended = found == m_pid;
}

} // namespace masticcourse::tests
