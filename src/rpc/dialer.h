#pragma once

#include "base/clock.h"
#include "member/entry_directory.h"

#include <kj/async-io.h>
#include <kj/timer.h>

#include <chrono>
#include <functional>
#include <string>

namespace teaselward
{

/** Connects to the addresses of a directory when their next attempts are due. */
class dialer : private kj::TaskSet::ErrorHandler
{
public:
    /** Called with the address and the new connection. */
    using connected_handler = std::function<void(const std::string &, kj::Own<kj::AsyncIoStream>)>;
    /** Called with an address that could not be connected. */
    using failed_handler = std::function<void(const std::string &)>;

    /**
     * Creates a dialer; dial() starts the attempts.
     * @param network opens the connections
     * @param timer timer of the event loop
     * @param directory addresses and the times of their next attempts
     * @param timeout longest duration of one attempt
     * @param connected called with each new connection
     * @param failed called with each failed attempt, after the directory has recorded it
     */
    dialer(kj::Network &network,
           kj::Timer &timer,
           entry_directory &directory,
           std::chrono::milliseconds timeout,
           connected_handler connected,
           failed_handler failed);

    /**
     * Starts the attempts that are due.
     * @param now current time
     */
    void dial(mono_time now);

private:
    void start(const std::string &address);
    void taskFailed(kj::Exception &&exception) override;

    kj::Network &m_network;
    kj::Timer &m_timer;
    entry_directory &m_directory;
    std::chrono::milliseconds m_timeout;
    connected_handler m_connected;
    failed_handler m_failed;
    kj::TaskSet m_tasks;
};

} // namespace teaselward
