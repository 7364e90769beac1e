#pragma once

#include "core/entry_id.h"

#include <absl/container/flat_hash_map.h>

namespace teaselward
{

class entry_session;

/** Entries at which an agent is registered, by incarnation. */
using entry_session_table = absl::flat_hash_map<entry_id, entry_session *>;

} // namespace teaselward
