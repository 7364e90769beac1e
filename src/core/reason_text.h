#pragma once

#include "core/reason.h"

#include <optional>
#include <string_view>

namespace teaselward
{

/**
 * Returns the fixed text of a reason as callers see it.
 * @param value the reason
 * @return text in snake case, for example "queue_full"
 */
std::string_view reasonText(reason value);

/**
 * Finds the reason that has a given text.
 * @param text text in snake case
 * @return the reason, or nothing if the text names none
 */
std::optional<reason> reasonFromText(std::string_view text);

} // namespace teaselward
