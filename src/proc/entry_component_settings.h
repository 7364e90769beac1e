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
 * Makes the announcement of a new incarnation.
 * @param settings settings of the process
 */
entry_info makeEntryInfo(const entry_settings &settings);

/**
 * Selects the settings of the decisions.
 * @param settings settings of the process
 * @param self announcement of this incarnation
 */
entry_core_settings entryCoreSettings(const entry_settings &settings, const entry_info &self);

/**
 * Selects the settings of the HTTP listeners.
 * @param settings settings of the process
 */
front_end_settings frontEndSettings(const entry_settings &settings);

/**
 * Selects the settings of the connections to agents and entries.
 * @param settings settings of the process
 * @param self announcement of this incarnation
 * @param snapshots copies of the configuration to share with the other entries
 */
entry_rpc_settings entryRpcSettings(const entry_settings &settings, const entry_info &self, snapshot_source &snapshots);

/**
 * Selects the settings of the front towards the platform's clients.
 * @param settings settings of the process
 */
platform_front_end_settings platformFrontEndSettings(const entry_settings &settings);

/**
 * Selects the settings of the thread that follows the configuration.
 * @param settings settings of the process
 */
config_follower_settings followerSettings(const entry_settings &settings);

} // namespace teaselward
