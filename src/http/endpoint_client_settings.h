#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Settings of the calls that an agent makes to its endpoint. */
struct endpoint_client_settings {
    std::string address; ///< IP:PORT of the endpoint.
    std::uint32_t connections = 64; ///< Maximum concurrent connections.
    std::chrono::milliseconds connectTimeout = std::chrono::seconds(1);
    std::size_t resultLimit = 4U << 20U; ///< Maximum bytes of one result.
    std::size_t ringCapacity = 1024; ///< Calls queued for the thread.
};

} // namespace teaselward
