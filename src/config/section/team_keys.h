#pragma once

#include "config/section/key_setter.h"
#include "config/section/team_section.h"

namespace teaselward
{

/**
 * Sets a key of a section [team NAME].
 * @param key name of the key
 * @param value text of the value
 * @param section the section; unchanged after an error
 * @return nothing, or an error message if the key or its value is invalid
 */
key_result setTeamKey(std::string_view key, std::string_view value, team_section &section);

} // namespace teaselward
