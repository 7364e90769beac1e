#include "rpc/agent_port.h"

#include "rpc/body_size.h"
#include "rpc/evacuation_codec.h"
#include "rpc/list_codec.h"
#include "rpc/rpc_limits.h"
#include "rpc/task_codec.h"
#include "rpc/ticket_codec.h"

#include <kj/debug.h>

#include <utility>
#include <vector>

namespace teaselward
{

namespace
{

// Fails a task whose result exceeds the message size limit. The entry would close the session on reading such a message, and all
// other tasks in progress would be lost with it.
void limitBody(task_outcome &outcome)
{
    if (outcome.body.size() > MaxMessageBodyBytes) {
        outcome = {task_verdict::failed, reason::tooLarge, "result too large", outcome.runTime};
    }
}

// Fails the call if the results exceed the message size limit; the entry then treats the fence as unanswered.
void requireBodyLimit(const std::vector<agent_task_status> &held)
{
    KJ_REQUIRE(bodySize(held) <= MaxMessageBodyBytes, "the results are too large");
}

} // namespace

agent_port::agent_port(agent_rpc_context &context, std::weak_ptr<entry_session> session)
    : m_context(context)
    , m_session(std::move(session))
{
}

std::shared_ptr<entry_session> agent_port::session() const
{
    auto session = m_session.lock();
    KJ_REQUIRE(session != nullptr, "the session is closed");
    return session;
}

entry_id agent_port::caller() const
{
    const auto current = session();
    KJ_REQUIRE(current->entry().has_value(), "the session is not registered");
    return current->entry()->id;
}

// Counts a call; the caller decreases the count when the call ends. Refuses a call above the session's limit, which the entry then
// treats as unanswered.
std::shared_ptr<std::size_t> agent_port::beginCall()
{
    std::shared_ptr<std::size_t> calls = session()->calls();
    KJ_REQUIRE(*calls < MaxSessionCalls, "too many calls in progress");
    ++*calls;
    return calls;
}

// A call can overtake the answer to the registration within the event loop, but the core must get entry_joined before any other
// event of the entry.
template<typename F>
kj::Promise<void> agent_port::afterRegistration(F &&handle)
{
    const auto current = session();
    if (current->entry()) {
        return handle();
    }
    return current->whenRegistered().then(std::forward<F>(handle));
}

kj::Promise<void> agent_port::ping(PingContext call)
{
    const std::uint64_t offset = call.getParams().getConfigOffset();
    return afterRegistration([this, offset]() -> kj::Promise<void> {
        session()->fetchSnapshotIfNewer(offset);
        return kj::READY_NOW;
    });
}

// Without allowCancellation() the library would keep a call of a lost session until its answer.
kj::Promise<void> agent_port::start(StartContext call)
{
    call.allowCancellation();
    return afterRegistration([this, call]() mutable -> kj::Promise<void> {
        const entry_id entry = caller();
        start_order order = decode(call.getParams().getOrder());
        call.releaseParams();
        auto calls = beginCall();
        auto pending = m_context.pendingStarts.add();
        m_context.events.push(start_received{call_id{pending.number}, entry, std::move(order)});
        return pending.answer
            .then([call](answer_start answer) mutable {
                limitBody(answer.outcome);
                auto results = call.getResults();
                encode(answer.outcome, results.initOutcome());
                results.setCredits(answer.credits);
                results.setRunTimeFactor(answer.runTimeFactor);
            })
            .attach(kj::defer([calls = std::move(calls)] {
                --*calls;
            }));
    });
}

kj::Promise<void> agent_port::revoke(RevokeContext call)
{
    call.allowCancellation();
    return afterRegistration([this, call]() mutable -> kj::Promise<void> {
        const entry_id entry = caller();
        const task_id id = decode(call.getParams().getId());
        auto calls = beginCall();
        auto pending = m_context.pendingRevokes.add();
        m_context.events.push(revoke_received{call_id{pending.number}, entry, id});
        return pending.answer
            .then([call](answer_revoke answer) mutable {
                limitBody(answer.held.outcome);
                encode(answer.held, call.getResults().initHeld());
            })
            .attach(kj::defer([calls = std::move(calls)] {
                --*calls;
            }));
    });
}

kj::Promise<void> agent_port::fence(FenceContext call)
{
    call.allowCancellation();
    return afterRegistration([this, call]() mutable -> kj::Promise<void> {
        const entry_id entry = caller();
        const ticket_id ticket = decode(call.getParams().getTicket());
        auto calls = beginCall();
        auto pending = m_context.pendingFences.add();
        m_context.events.push(fence_received{call_id{pending.number}, entry, ticket});
        return pending.answer
            .then([call](const answer_fence &answer) mutable {
                requireBodyLimit(answer.held);
                encodeHeld(answer.held, call.getResults().initHeld(static_cast<unsigned>(answer.held.size())));
            })
            .attach(kj::defer([calls = std::move(calls)] {
                --*calls;
            }));
    });
}

kj::Promise<void> agent_port::demand(DemandContext call)
{
    const std::uint32_t queued = call.getParams().getQueued();
    return afterRegistration([this, queued]() -> kj::Promise<void> {
        m_context.events.push(demand_received{caller(), queued});
        return kj::READY_NOW;
    });
}

kj::Promise<void> agent_port::stop(StopContext call)
{
    const task_id id = decode(call.getParams().getId());
    return afterRegistration([this, id]() -> kj::Promise<void> {
        m_context.events.push(stop_received{caller(), id});
        return kj::READY_NOW;
    });
}

kj::Promise<void> agent_port::entries(EntriesContext call)
{
    for (const std::string &address : decodeTexts(call.getParams().getAddresses())) {
        m_context.directory.learn(address, mono_clock::now());
    }
    return kj::READY_NOW;
}

kj::Promise<void> agent_port::evacuate(EvacuateContext call)
{
    evacuation_state state = decode(call.getParams().getEvacuations());
    return afterRegistration([this, state = std::move(state)]() -> kj::Promise<void> {
        m_context.events.push(evacuations_received{caller(), state});
        return kj::READY_NOW;
    });
}

} // namespace teaselward
