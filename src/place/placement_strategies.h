#pragma once

#include "place/placement_strategy.h"

#include <memory>
#include <string_view>
#include <vector>

namespace teaselward
{

/**
 * Creates a strategy by its name in the table of placement strategies.
 * @param name name in the table
 * @throws std::out_of_range if there is no such strategy
 */
std::unique_ptr<placement_strategy> makePlacementStrategy(std::string_view name);

/** @return names of all strategies in the order of the table */
std::vector<std::string_view> placementStrategyNames();

} // namespace teaselward
