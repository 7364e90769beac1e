#pragma once

#include "platform/keyed_record.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Latest record of each key of a keyed topic, or a page of them. */
struct keyed_page {
    std::vector<keyed_record> records;
    std::uint64_t next = 0; ///< Offset at which a read continues with later records.
    std::vector<std::string> unreadable; ///< Keys of the records whose value could not be decoded.
    std::size_t ignored = 0; ///< Records that could not be decoded, with or without a readable key.
    std::string lastKey; ///< Key of the last record, decoded or not.
    bool hasMore = false; ///< Further pages follow.
};

} // namespace teaselward
