#pragma once

#include "core/agent_id.h"

#include <absl/container/flat_hash_map.h>

namespace teaselward
{

class agent_session;

/** Agents that are registered at an entry, by incarnation. */
using agent_session_table = absl::flat_hash_map<agent_id, agent_session *>;

} // namespace teaselward
