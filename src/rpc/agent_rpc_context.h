#pragma once

#include "agent/action/answer_fence.h"
#include "agent/action/answer_revoke.h"
#include "agent/action/answer_start.h"
#include "agent/agent_event.h"
#include "base/bounded_ring.h"
#include "log/logger.h"
#include "member/entry_directory.h"
#include "rpc/agent_rpc_settings.h"
#include "rpc/entry_session_table.h"
#include "rpc/link_table.h"
#include "rpc/pending_table.h"

namespace teaselward
{

/** State that the sessions of an agent share. */
struct agent_rpc_context {
    const agent_rpc_settings &settings;
    agent_info
        &self; ///< Announcement of the agent; its leaving flag is set once, when the agent starts to drain, and its factor follows the answers to starts.
    bounded_ring<agent_event> &events;
    logger &log;
    link_table &links;
    entry_directory &directory;
    entry_session_table &sessions;
    pending_table<answer_start> &pendingStarts;
    pending_table<answer_revoke> &pendingRevokes;
    pending_table<answer_fence> &pendingFences;
};

} // namespace teaselward
