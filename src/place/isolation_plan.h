#pragma once

#include "place/placement_lane.h"

#include <map>
#include <string>
#include <vector>

namespace teaselward
{

/**
 * Divides endpoints among the lanes while a kind is quarantined. The result depends only on the addresses, so entries with the same
 * view isolate the same endpoints without exchanging messages, and an endpoint that joins or leaves changes few others.
 * @param addresses addresses of the endpoints, each once
 * @return lane of each address; all are shared if there are fewer than two
 */
std::map<std::string, placement_lane, std::less<>> planIsolation(const std::vector<std::string> &addresses);

} // namespace teaselward
