#pragma once

#include <cstdint>

namespace teaselward
{

/** Bytes of all connections of an adapter, without the headers of TCP and IP. */
struct rpc_traffic {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

} // namespace teaselward
