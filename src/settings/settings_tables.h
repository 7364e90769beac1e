#pragma once

#include "settings/agent_settings.h"
#include "settings/entry_settings.h"
#include "settings/setting_spec.h"

#include <span>

namespace teaselward
{

/** @return table of the settings of an entry */
std::span<const setting_spec<entry_settings>> entrySettingsTable();

/** @return table of the settings of an agent */
std::span<const setting_spec<agent_settings>> agentSettingsTable();

} // namespace teaselward
