#pragma once

#include "log/logger.h"
#include "rpc/link_side.h"
#include "rpc/rpc_link.h"
#include "rpc/traffic_counter.h"

#include <kj/async-io.h>
#include <kj/timer.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>

namespace teaselward
{

/** All connections of an adapter. It checks their leases and notifies the session of each connection once when it is lost. */
class link_table : private kj::TaskSet::ErrorHandler
{
public:
    /**
     * Creates an empty table.
     * @param timer timer of the event loop
     * @param lease silence of a peer after which its connection is closed
     * @param heartbeat own silence after which a heartbeat is sent
     * @param traffic byte counter of the adapter; it must outlive the table
     * @param log receiver of the log lines; it must outlive the table
     */
    link_table(kj::Timer &timer, std::chrono::milliseconds lease, std::chrono::milliseconds heartbeat, traffic_counter &traffic, logger &log);
    ~link_table();

    /**
     * Adds a connection. The caller then calls serve() or connect() on it, and watch().
     * @param stream the connection
     * @param side how it was opened
     * @return the connection, or null if the table is full
     */
    rpc_link *add(kj::Own<kj::AsyncIoStream> stream, link_side side);

    /**
     * Closes a connection when the other side ends it.
     * @param link the connection
     */
    void watch(rpc_link &link);

    /**
     * Finds a connection.
     * @param number its number
     * @return the connection, or null if it is closed
     */
    rpc_link *find(std::uint64_t number);

    /**
     * Notifies the session of a connection and closes the connection. The object is destroyed in the event loop's next turn, so
     * that a call on the same connection may request this.
     * @param number number of the connection; nothing happens if it is closed
     * @param why text for the log
     */
    void close(std::uint64_t number, std::string_view why);

    /**
     * Closes a connection after a delay, so that an answer can be sent first.
     * @param number number of the connection
     * @param delay time until the connection is closed
     * @param why text for the log; it must be a literal
     */
    void closeAfter(std::uint64_t number, std::chrono::milliseconds delay, std::string_view why);

    /**
     * Sends the heartbeats that are due and closes the connections whose leases have ended.
     * @param now current time
     */
    void check(mono_time now);

    /**
     * Waits until all send queues are empty.
     * @param bound longest time to wait
     */
    kj::Promise<void> flush(std::chrono::milliseconds bound);

    /**
     * Shuts down the sending direction of all connections and reads until the other sides have closed them. Closing a socket with
     * unread bytes would send a reset, upon which the receiver discards what it has not read yet.
     * @param bound longest time to wait
     */
    kj::Promise<void> finish(std::chrono::milliseconds bound);

    /** @return number of connections */
    std::size_t size() const;

private:
    kj::Promise<void> waitUntilClosed(std::chrono::milliseconds bound);
    void taskFailed(kj::Exception &&exception) override;
    void pruneUnregistered();

    kj::Timer &m_timer;
    std::chrono::milliseconds m_lease;
    std::chrono::milliseconds m_heartbeat;
    traffic_counter &m_traffic;
    logger &m_log;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, std::unique_ptr<rpc_link>> m_links;
    std::map<std::uint64_t, mono_time> m_unregistered; // Deadlines of the connections whose first message has not been accepted.
    kj::TaskSet m_tasks;
};

} // namespace teaselward
