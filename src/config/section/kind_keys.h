#pragma once

#include "config/section/key_setter.h"
#include "config/section/kind_section.h"

namespace teaselward
{

/**
 * Sets a key of a section [kind NAME].
 * @param key name of the key
 * @param value text of the value
 * @param section the section; unchanged if there is a reason
 * @return nothing, or the reason for which the key or its value is invalid
 */
key_result setKindKey(std::string_view key, std::string_view value, kind_section &section);

} // namespace teaselward
