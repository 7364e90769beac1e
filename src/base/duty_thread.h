#pragma once

#include <functional>
#include <memory>
#include <string>

namespace teaselward
{

namespace detail
{
class duty_thread_private;
}

/** POSIX thread that runs one duty of a process, such as an event loop. The destructor joins it. */
class duty_thread
{
public:
    /**
     * Starts the thread.
     * @param name thread name shown by system tools; truncated to 15 characters
     * @param duty function that the thread runs; the thread ends when it returns
     * @throws std::system_error if the thread cannot be created
     */
    duty_thread(const std::string &name, std::function<void()> duty);
    ~duty_thread();

    duty_thread(const duty_thread &) = delete;
    duty_thread &operator=(const duty_thread &) = delete;

private:
    std::unique_ptr<detail::duty_thread_private> d;
};

} // namespace teaselward
