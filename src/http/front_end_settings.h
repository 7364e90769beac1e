#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Settings of the listeners for callers and operators. */
struct front_end_settings {
    std::string listen; ///< Address for callers as IP:PORT.
    std::string adminListen; ///< Address for operators as IP:PORT; empty to open no listener for them.
    std::string adminToken; ///< Bearer token that operators must send; empty only on a loopback address.
    std::string ticketKey; ///< Secret shared by the entries, from which the key of the ticket MAC is derived.
    std::size_t bodyLimit = 4U << 20U; ///< Maximum bytes of one request body.
    std::size_t bufferLimit = 64U << 20U; ///< Maximum bytes of all request bodies that are being received; further requests are refused as overloaded.
    std::uint32_t taskLimit = 1000; ///< Maximum tasks of one job; the rules of a kind may allow fewer.
    std::uint32_t ticketLimit = 1000; ///< Maximum tickets of one request.
    std::chrono::milliseconds timeLimit = std::chrono::minutes(4); ///< Maximum time limit of a job and maximum wait of a query.
    std::chrono::milliseconds drainBound = std::chrono::seconds(30); ///< Time limit of a drain whose request states none.
    std::uint32_t connectionLimit = 4096; ///< Maximum open connections.
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(60); ///< A connection without traffic is closed after this time.
    std::size_t ringCapacity = 8192; ///< Answers queued for the reply thread.
};

} // namespace teaselward
