#pragma once

#include "core/request_id.h"

#include <cstdint>

namespace teaselward
{

/** A caller requests tickets. */
struct ticket_requested {
    request_id request;
    std::uint32_t count = 1;
};

} // namespace teaselward
