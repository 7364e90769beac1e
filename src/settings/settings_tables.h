#pragma once

#include "settings/agent_settings.h"
#include "settings/entry_settings.h"
#include "settings/setting_spec.h"

#include <span>

namespace teaselward
{

/** @return descriptions of the settings of an entry */
std::span<const setting_spec<entry_settings>> entrySettingsTable();

/** @return descriptions of the settings of an agent */
std::span<const setting_spec<agent_settings>> agentSettingsTable();

} // namespace teaselward
