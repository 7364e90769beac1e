#pragma once

#include "core/kind_rule.h"
#include "core/team_rule.h"

#include <cstdint>
#include <map>
#include <string>

namespace teaselward
{

/** Active rules, merged from the configuration files for the current local time. */
struct rule_set {
    std::uint64_t offset = 0; ///< Log offset of the last record that the rules include.
    std::map<std::string, kind_rule, std::less<>> kinds;
    std::map<std::string, team_rule, std::less<>> teams; ///< Empty if any team may submit.
};

} // namespace teaselward
