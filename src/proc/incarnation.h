#pragma once

#include <cstdint>

namespace teaselward
{

/** @return random nonzero number that identifies one run of a process */
std::uint64_t makeIncarnation();

} // namespace teaselward
