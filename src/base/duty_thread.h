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

/** POSIX thread that carries out one duty of a process. The destructor waits for its end. */
class duty_thread
{
public:
    /**
     * Starts the thread.
     * @param name shown by the system's tools; at most 15 characters
     * @param duty function that returns when the duty ends
     * @throws std::system_error if the system has no thread left
     */
    duty_thread(const std::string &name, std::function<void()> duty);
    ~duty_thread();

    duty_thread(const duty_thread &) = delete;
    duty_thread &operator=(const duty_thread &) = delete;

private:
    std::unique_ptr<detail::duty_thread_private> d;
};

} // namespace teaselward
