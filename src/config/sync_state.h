#pragma once

#include "config/synced_file.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace teaselward
{

/** States of the files of a folder at the last agreement with the log, by name. */
using sync_state = std::map<std::string, synced_file, std::less<>>;

/** Name of the hidden file in a folder that stores the state. */
inline constexpr std::string_view SyncStateName = ".teaselward-sync";

/**
 * Encodes a state.
 * @param state the state
 * @return JSON text
 */
std::string encodeSyncState(const sync_state &state);

/**
 * Decodes a state.
 * @param text JSON text
 * @return the state, or nothing if the text is malformed
 */
std::optional<sync_state> decodeSyncState(std::string_view text);

} // namespace teaselward
