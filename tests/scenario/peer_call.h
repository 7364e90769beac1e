#pragma once

#include "core/request_id.h"

#include <cstddef>

namespace teaselward::testing
{

/** Request that one entry forwarded to another and that is not answered yet. */
struct peer_call {
    std::size_t from = 0;
    std::size_t to = 0;
    request_id request; ///< Identifier at the forwarding entry.
};

} // namespace teaselward::testing
