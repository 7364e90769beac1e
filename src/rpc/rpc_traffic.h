#pragma once

#include <cstdint>

namespace teaselward
{

/** Bytes that all connections of an adapter have transferred, without TCP and IP headers. */
struct rpc_traffic {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

} // namespace teaselward
