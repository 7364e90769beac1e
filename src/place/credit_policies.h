#pragma once

#include "place/credit_policy.h"

#include <memory>
#include <string_view>

namespace teaselward
{

/**
 * Creates a policy from the table of credit policies.
 * @param name "shared", "scarce" or "equal"
 * @throws std::out_of_range if there is no such policy
 */
std::unique_ptr<credit_policy> makeCreditPolicy(std::string_view name);

} // namespace teaselward
