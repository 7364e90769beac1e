#pragma once

#include <cstddef>

namespace teaselward
{

/** Limit of the evacuated failure domains in a state; the largest deployments have six. */
constexpr std::size_t MaxEvacuatedDomains = 256;

/** Size limit of the name of a failure domain, in bytes. */
constexpr std::size_t MaxDomainBytes = 256;

} // namespace teaselward
