#pragma once

#include <cstdint>

namespace teaselward
{

/** What became of a change; the same for every reader. */
enum class change_outcome : std::uint8_t {
    accepted, ///< The change is in force.
    conflict, ///< The base version was not the current version of the file.
    invalid, ///< The file is not valid on its own or breaks a limit.
    repeated, ///< A record with the same append id was folded before; that one counts.
    ignored, ///< The record is not above the folded offset.
};

} // namespace teaselward
