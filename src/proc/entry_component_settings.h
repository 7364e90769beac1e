#pragma once

#include "config/config_follower_settings.h"
#include "core/entry_info.h"
#include "http/front_end_settings.h"
#include "job/entry_core_settings.h"
#include "platform/platform_front_end_settings.h"
#include "rpc/entry_rpc_settings.h"
#include "settings/entry_settings.h"

namespace teaselward
{

/**
 * Builds the announcement of a new incarnation of the entry, with a random identifier.
 * @param settings settings of the process
 */
entry_info makeEntryInfo(const entry_settings &settings);

/**
 * Returns the settings of the entry core.
 * @param settings settings of the process
 * @param self announcement of this incarnation
 */
entry_core_settings entryCoreSettings(const entry_settings &settings, const entry_info &self);

/**
 * Returns the settings of the HTTP listeners.
 * @param settings settings of the process
 */
front_end_settings frontEndSettings(const entry_settings &settings);

/**
 * Returns the settings of the RPC adapter, which connects to agents and other entries.
 * @param settings settings of the process
 * @param self announcement of this incarnation
 * @param snapshots copies of the configuration to exchange with the other entries
 */
entry_rpc_settings entryRpcSettings(const entry_settings &settings, const entry_info &self, snapshot_source &snapshots);

/**
 * Returns the settings of the HTTP listeners for the platform's clients.
 * @param settings settings of the process
 */
platform_front_end_settings platformFrontEndSettings(const entry_settings &settings);

/**
 * Returns the settings of the thread that follows the configuration in the platform log.
 * @param settings settings of the process
 */
config_follower_settings followerSettings(const entry_settings &settings);

} // namespace teaselward
