#pragma once

#include "place/placement_group.h"

#include <map>
#include <string>
#include <vector>

namespace teaselward
{

/**
 * Divides endpoints into two groups of equal size. The result depends only on the addresses, so entries with the same view choose the
 * same groups without exchanging messages, and an endpoint that joins or leaves moves at most one other.
 * @param addresses addresses of the endpoints, each once
 * @return group of each address
 */
std::map<std::string, placement_group, std::less<>> planSeparation(const std::vector<std::string> &addresses);

} // namespace teaselward
