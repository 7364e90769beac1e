#pragma once

#include <string>

namespace teaselward::testing
{

/**
 * Finds a free port. The port is not reserved: another process can bind it before the caller does.
 * @return loopback address as IP:PORT, different at each call
 * @throws std::runtime_error if no port is free
 */
std::string freeAddress();

} // namespace teaselward::testing
