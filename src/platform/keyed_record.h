#pragma once

#include <cstdint>
#include <string>

namespace teaselward
{

/** Record of a keyed topic, where a record replaces earlier records with the same key. */
struct keyed_record {
    std::string key;
    std::string value; ///< Empty if the key was deleted.
    std::uint64_t offset = 0; ///< As in platform_log: the first record of a topic has offset 1.
};

} // namespace teaselward
