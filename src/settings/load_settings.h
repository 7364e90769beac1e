#pragma once

#include "settings/agent_settings.h"
#include "settings/entry_settings.h"
#include "settings/settings_result.h"

#include <string>

namespace teaselward
{

/**
 * Reads and checks the settings file of an entry.
 * @param path path of the file
 * @return settings and errors
 */
settings_result<entry_settings> loadEntrySettings(const std::string &path);

/**
 * Reads and checks the settings file of an agent.
 * @param path path of the file
 * @return settings and errors
 */
settings_result<agent_settings> loadAgentSettings(const std::string &path);

/**
 * Checks a settings file for the role that it declares.
 * @param path path of the file
 * @return the errors
 */
std::vector<settings_error> checkSettings(const std::string &path);

} // namespace teaselward
