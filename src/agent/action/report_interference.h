#pragma once

#include "core/entry_id.h"
#include "core/kind_pair.h"

#include <optional>
#include <vector>

namespace teaselward
{

/** Sends the pairs of kinds that slow each other at the endpoint. */
struct report_interference {
    std::vector<kind_pair> pairs; ///< All pairs in force; they replace the former report.
    std::optional<entry_id> entry; ///< The receiver; every entry if empty.
};

} // namespace teaselward
