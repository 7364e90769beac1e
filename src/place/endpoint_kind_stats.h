#pragma once

#include <cstddef>

namespace teaselward
{

/** Recent outcomes of one kind at one endpoint. */
struct endpoint_kind_stats {
    std::size_t kind = 0; ///< Index of the kind in the table.
    double failureRatio = 0; ///< Moving average of the outcomes: 1 for a failure, 0 for a success.
};

} // namespace teaselward
