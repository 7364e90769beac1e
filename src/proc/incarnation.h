#pragma once

#include <cstdint>

namespace teaselward
{

/** @return random number that names one run of a process; it is never zero */
std::uint64_t makeIncarnation();

} // namespace teaselward
