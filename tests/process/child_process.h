#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace teaselward::testing
{

/** Process that a test starts. The destructor kills it with SIGKILL and waits for it. */
class child_process
{
public:
    /**
     * Starts a program and waits for its first line of output, which reports that it is ready.
     * @param arguments path of the program and its arguments
     * @throws std::runtime_error if the program cannot be started, ends before its first line, or prints nothing for 60 s
     */
    explicit child_process(const std::vector<std::string> &arguments);
    ~child_process();

    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /**
     * Sends a signal.
     * @param number signal number
     */
    void signal(int number) const;

    /**
     * Waits until the process ends.
     * @return exit status, or 128 plus the number of the signal that killed it
     */
    int wait();

    /** @return first line of the process's output */
    const std::string &firstLine() const;

private:
    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_firstLine;
};

} // namespace teaselward::testing
