#pragma once

#include <string>

namespace teaselward::testing
{

/** @return loopback address with a port that was free a moment before and that this program has not handed out before */
std::string freeAddress();

} // namespace teaselward::testing
