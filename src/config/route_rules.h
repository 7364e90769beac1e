#pragma once

#include "core/route_config.h"
#include "core/rule_set.h"

namespace teaselward
{

/**
 * Derives the rules of the kinds from the routes.
 * @param config the routes
 * @return rules whose offset is the version of the routes
 */
rule_set routeRules(const route_config &config);

} // namespace teaselward
