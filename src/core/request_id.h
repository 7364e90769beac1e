#pragma once

#include "core/request_origin.h"

#include <cstdint>
#include <utility>

namespace teaselward
{

/** Identifies a pending request at an entry. */
struct request_id {
    request_origin origin = request_origin::caller;
    std::uint64_t number = 0; ///< Unique within the origin.

    friend bool operator==(const request_id &, const request_id &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const request_id &value)
    {
        return H::combine(std::move(state), value.origin, value.number);
    }
};

} // namespace teaselward
