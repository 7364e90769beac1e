#include "process/child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>

extern char **environ;

namespace teaselward::testing
{

namespace
{

constexpr int ReadyTimeoutMs = 60000;

std::string readLine(int descriptor)
{
    std::string line;
    pollfd ready{descriptor, POLLIN, 0};
    char character = 0;
    while (::poll(&ready, 1, ReadyTimeoutMs) == 1 && ::read(descriptor, &character, 1) == 1) {
        if (character == '\n') {
            return line;
        }
        line += character;
    }
    throw std::runtime_error("child process closed its output or timed out before its first line was complete; received: " + line);
}

} // namespace

child_process::child_process(const std::vector<std::string> &arguments)
{
    std::array<int, 2> pipeEnds{};
    if (::pipe2(pipeEnds.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("pipe2");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, "/dev/null", O_WRONLY, 0);
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    const int error = ::posix_spawn(&m_pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(pipeEnds[1]);
    m_output = pipeEnds[0];
    if (error != 0) {
        ::close(m_output);
        throw std::runtime_error("cannot start " + arguments[0]);
    }
    m_firstLine = readLine(m_output);
}

child_process::~child_process()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::kill(m_pid, SIGCONT);
        ::waitpid(m_pid, nullptr, 0);
    }
    ::close(m_output);
}

void child_process::signal(int number) const
{
    ::kill(m_pid, number);
}

int child_process::wait()
{
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = -1;
    constexpr int signalBase = 128;
    return WIFEXITED(status) ? WEXITSTATUS(status) : signalBase + WTERMSIG(status);
}

const std::string &child_process::firstLine() const
{
    return m_firstLine;
}

} // namespace teaselward::testing
