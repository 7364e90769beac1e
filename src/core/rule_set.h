#pragma once

#include "core/kind_rule.h"
#include "core/team_rule.h"

#include <cstdint>
#include <map>
#include <string>

namespace teaselward
{

/** Rules in force, as merged from the configuration files for the present local time. */
struct rule_set {
    std::uint64_t offset = 0; ///< Log offset up to which the rules are folded.
    std::map<std::string, kind_rule, std::less<>> kinds;
    std::map<std::string, team_rule, std::less<>> teams; ///< Empty if any team may submit.
};

} // namespace teaselward
