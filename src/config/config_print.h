#pragma once

#include "config/config_model.h"

#include <string>
#include <vector>

namespace teaselward
{

/**
 * Formats merged sections as one configuration file.
 * @param model the sections
 * @return text that parses into the same sections
 */
std::string printModel(const config_model &model);

/**
 * Lists references to undefined sections, with their effect.
 * @param model the sections
 * @return one sentence for each reference
 */
std::vector<std::string> danglingReferences(const config_model &model);

} // namespace teaselward
