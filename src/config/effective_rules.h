#pragma once

#include "base/clock.h"
#include "config/config_model.h"
#include "core/rule_set.h"

#include <cstdint>
#include <optional>

namespace teaselward
{

/**
 * Computes the rules that are in force at an instant. A kind takes what it does not set from its service and else the default.
 * Peaks in force replace weight and floor in the order of their names. If the floors of all kinds add up to more than 1, they
 * are scaled down to 1.
 * @param model the merged sections
 * @param utc the instant
 * @param offset log offset up to which the model is folded
 * @return the rules
 */
rule_set effectiveRules(const config_model &model, wall_time utc, std::uint64_t offset);

/**
 * Finds the next instant at which a clock change or a peak may change the rules.
 * @param model the merged sections
 * @param utc the present instant
 * @return an instant after it, or nothing if no rule depends on local time
 */
std::optional<wall_time> nextRuleChange(const config_model &model, wall_time utc);

/**
 * Compares the content of two rule sets.
 * @param left one
 * @param right the other
 * @return whether they differ in nothing but the offset
 */
bool haveSameRules(const rule_set &left, const rule_set &right);

} // namespace teaselward
