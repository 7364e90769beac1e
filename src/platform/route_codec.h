#pragma once

#include "core/route_config.h"

#include <string>

namespace teaselward
{

/**
 * Decodes a version of the configuration that the operators publish.
 * @param text value of its record
 * @param config set to the routes and the text
 * @return false if the text is malformed; then the configuration must not be used
 */
bool decodeRoutes(const std::string &text, route_config &config);

} // namespace teaselward
