#pragma once

#include "config/config_model.h"

#include <string>
#include <vector>

namespace teaselward
{

/**
 * Writes merged sections as one configuration file.
 * @param model the sections
 * @return text that parses to the same sections
 */
std::string printModel(const config_model &model);

/**
 * Lists references to sections that no file defines, with their effect.
 * @param model the sections
 * @return one sentence each
 */
std::vector<std::string> danglingReferences(const config_model &model);

} // namespace teaselward
