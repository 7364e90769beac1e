#pragma once

#include "base/clock.h"
#include "config/config_model.h"
#include "core/rule_set.h"

#include <cstdint>
#include <optional>

namespace teaselward
{

/**
 * Computes the rules for a point in time. A kind inherits the values that it does not set from its service, or else uses the
 * defaults. Active peaks override weight and floor in the order of their names. If the floors of all kinds add up to more
 * than 1, they are scaled down to a sum of 1.
 * @param model the merged sections
 * @param utc the time
 * @param offset log offset of the last record that the model includes
 * @return the rules
 */
rule_set effectiveRules(const config_model &model, wall_time utc, std::uint64_t offset);

/**
 * Finds the next time at which a clock change or a peak may change the rules.
 * @param model the merged sections
 * @param utc the current time
 * @return a later time, or nothing if no rule depends on local time
 */
std::optional<wall_time> nextRuleChange(const config_model &model, wall_time utc);

/**
 * Compares two rule sets, ignoring their offsets.
 * @param left first rule set
 * @param right second rule set
 * @return whether all other members are equal
 */
bool haveSameRules(const rule_set &left, const rule_set &right);

} // namespace teaselward
