#pragma once

#include "core/reason.h"

#include <optional>
#include <string_view>

namespace teaselward
{

/**
 * Returns the text that stands for a reason in answers, logs and metrics.
 * @param value the reason
 * @return text in snake case, for example "queue_full"
 */
std::string_view reasonText(reason value);

/**
 * Finds the reason that has a given text.
 * @param text text in snake case
 * @return the reason, or nothing if no reason has the text
 */
std::optional<reason> reasonFromText(std::string_view text);

} // namespace teaselward
