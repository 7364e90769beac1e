#pragma once

#include <cstdint>

namespace teaselward
{

/** Outcome of a change; the same for every reader. */
enum class change_outcome : std::uint8_t {
    accepted, ///< The change has taken effect.
    conflict, ///< The base version was not the current version of the file.
    invalid, ///< The file is not valid on its own or breaks a limit.
    repeated, ///< An earlier record has the same append id; the outcome of that record counts.
    ignored, ///< The state already includes the offset of the record.
};

} // namespace teaselward
