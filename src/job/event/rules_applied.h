#pragma once

#include "core/rule_set.h"

#include <memory>

namespace teaselward
{

/** A configuration took effect in this process. */
struct rules_applied {
    std::shared_ptr<const rule_set> rules;
};

} // namespace teaselward
