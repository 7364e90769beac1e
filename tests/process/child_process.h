#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace teaselward::testing
{

/** Process that a test starts. The destructor ends it by its id. */
class child_process
{
public:
    /**
     * Starts a program and waits until it prints a first line, which says that it is ready.
     * @param arguments path of the program and its arguments
     * @throws std::runtime_error if it ends before, or prints nothing for a minute
     */
    explicit child_process(const std::vector<std::string> &arguments);
    ~child_process();

    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /**
     * Sends a signal.
     * @param number the signal
     */
    void signal(int number) const;

    /**
     * Waits for the end of the process.
     * @return exit status, or 128 plus the signal that ended it
     */
    int wait();

    /** @return first line that the process printed */
    const std::string &firstLine() const;

private:
    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_firstLine;
};

} // namespace teaselward::testing
