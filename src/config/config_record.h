#pragma once

#include "config/change_record.h"
#include "config/snapshot_record.h"

#include <variant>

namespace teaselward
{

/** Any record of the configuration stream. */
using config_record = std::variant<change_record, snapshot_record>;

} // namespace teaselward
