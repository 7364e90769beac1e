#pragma once

#include "core/evacuation_source.h"
#include "core/evacuation_state.h"

#include <string>
#include <string_view>

namespace teaselward
{

/**
 * Returns the name of a source for log lines.
 * @param source the source
 */
std::string_view evacuationSourceText(evacuation_source source);

/**
 * Returns the evacuated failure domains for log lines.
 * @param state the state
 * @return the names, separated by commas; "none" if there are none
 */
std::string evacuatedDomainsText(const evacuation_state &state);

} // namespace teaselward
