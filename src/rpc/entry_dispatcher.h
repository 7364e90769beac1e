#pragma once

#include "core/agent_id.h"
#include "job/entry_action.h"
#include "rpc/action_table.h"
#include "rpc/entry_rpc_context.h"

#include <kj/async.h>

namespace teaselward
{

/** Passes each action of the entry's core to the session that carries it out. */
class entry_dispatcher : private kj::TaskSet::ErrorHandler
{
public:
    /** @param context state that all sessions share */
    explicit entry_dispatcher(entry_rpc_context &context);

    /**
     * Carries out an action.
     * @param action the action; an action for another adapter is logged and dropped
     */
    void dispatch(entry_action &&action);

private:
    using handler = void (entry_dispatcher::*)(entry_action &&);
    static const action_table<entry_action, handler> Handlers;

    void startTask(entry_action &&action);
    void revokeTask(entry_action &&action);
    void stopTask(entry_action &&action);
    void fenceTicket(entry_action &&action);
    void forward(entry_action &&action);
    void sendDemand(entry_action &&action);
    void sendEvacuations(entry_action &&action);
    void reportUsage(entry_action &&action);
    void replyJob(entry_action &&action);
    void dropAction(entry_action &&action);

    agent_session *findAgent(const agent_id &agent) const;
    void sendRevoke(const revoke_task &revoke);
    void taskFailed(kj::Exception &&exception) override;

    entry_rpc_context &m_context;
    kj::TaskSet m_tasks; // Delayed revocations.
};

} // namespace teaselward
