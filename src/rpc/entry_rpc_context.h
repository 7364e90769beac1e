#pragma once

#include "base/bounded_ring.h"
#include "core/entry_info.h"
#include "core/evacuation_state.h"
#include "core/job_answer.h"
#include "job/entry_event.h"
#include "log/logger.h"
#include "member/entry_directory.h"
#include "rpc/agent_session_table.h"
#include "rpc/entry_rpc_settings.h"
#include "rpc/link_table.h"
#include "rpc/pending_table.h"

#include <kj/timer.h>

#include <optional>

namespace teaselward
{

class dialer;
class forwarder;
class peer_table;

/** State that the sessions of an entry share. */
struct entry_rpc_context {
    const entry_rpc_settings &settings;
    const entry_info &self;
    bounded_ring<entry_event> &events;
    logger &log;
    kj::Timer &timer;
    link_table &links;
    entry_directory &directory;
    agent_session_table &agents;
    peer_table &peers;
    forwarder &requestForwarder;
    dialer &entryDialer;
    pending_table<job_answer> &pendingRequests; ///< Requests of peers that wait for an answer of the decision thread.
    std::optional<evacuation_state> evacuations; ///< Sent at the start of each session; empty while no evacuation has been known.
};

} // namespace teaselward
