#include "rpc/entry_port.h"

#include "rpc/body_size.h"
#include "rpc/evacuation_codec.h"
#include "rpc/job_codec.h"
#include "rpc/list_codec.h"
#include "rpc/rpc_limits.h"
#include "rpc/snapshot_codec.h"
#include "rpc/snapshot_source.h"
#include "rpc/text_codec.h"
#include "rpc/ticket_codec.h"

#include <kj/debug.h>

#include <utility>

namespace teaselward
{

entry_port::entry_port(entry_rpc_context &context, std::weak_ptr<peer_session> session)
    : m_context(context)
    , m_session(std::move(session))
{
}

bool entry_port::isHomeOf(const ticket &source) const
{
    return source.id.incarnation == m_context.self.id.value;
}

// Passes a request to the decision thread and resolves with its answer.
template<typename C, typename F>
kj::Promise<void> entry_port::await(C call, F &&makeEvent)
{
    KJ_REQUIRE(m_calls < MaxSessionCalls, "too many calls in progress");
    ++m_calls;
    call.allowCancellation();
    auto pending = m_context.pendingRequests.add();
    m_context.events.push(makeEvent(request_id{request_origin::peer, pending.number}));
    return pending.answer
        .then([call](job_answer answer) mutable {
            if (bodySize(answer.results) > MaxMessageBodyBytes) {
                answer = job_answer{job_state::failed, reason::tooLarge, false, {}, {}};
            }
            encode(answer, call.getResults().initResult().initAnswer());
        })
        .attach(kj::defer([this] {
            --m_calls;
        }));
}

kj::Promise<void> entry_port::ping(PingContext /*call*/)
{
    return kj::READY_NOW;
}

kj::Promise<void> entry_port::submit(SubmitContext call)
{
    job_request job = decode(call.getParams().getJob());
    call.releaseParams();
    if (!isHomeOf(job.source)) {
        call.getResults().initResult().setOtherIncarnation(true);
        return kj::READY_NOW;
    }
    return await(call, [&job](const request_id &request) {
        return job_submitted{request, std::move(job)};
    });
}

kj::Promise<void> entry_port::query(QueryContext call)
{
    const ticket source = decode(call.getParams().getSource());
    const auto wait = fromWireDuration<std::chrono::milliseconds>(call.getParams().getWaitMs());
    if (!isHomeOf(source)) {
        call.getResults().initResult().setOtherIncarnation(true);
        return kj::READY_NOW;
    }
    return await(call, [&source, wait](const request_id &request) {
        return job_queried{request, source, wait};
    });
}

kj::Promise<void> entry_port::cancel(CancelContext call)
{
    const ticket source = decode(call.getParams().getSource());
    if (!isHomeOf(source)) {
        call.getResults().initResult().setOtherIncarnation(true);
        return kj::READY_NOW;
    }
    return await(call, [&source](const request_id &request) {
        return job_cancelled{request, source};
    });
}

kj::Promise<void> entry_port::exchange(ExchangeContext call)
{
    const auto session = m_session.lock();
    KJ_REQUIRE(session != nullptr && session->peer().has_value(), "the session is not joined");
    const auto params = call.getParams();
    for (const std::string &address : decodeTexts(params.getEntries())) {
        m_context.directory.learn(address, mono_clock::now());
    }
    m_context.events.push(peer_reported{session->peer()->id, decodeUsage(params.getUsage())});
    session->fetchSnapshotIfNewer(params.getConfigOffset());
    auto results = call.getResults();
    const snapshot_source *source = m_context.settings.snapshots;
    results.setConfigOffset(source != nullptr ? source->offset() : 0);
    const std::vector<std::string> entries = session->takeNewEntries();
    encodeTexts(entries, results.initEntries(static_cast<unsigned>(entries.size())));
    return kj::READY_NOW;
}

kj::Promise<void> entry_port::snapshot(SnapshotContext call)
{
    const snapshot_source *source = m_context.settings.snapshots;
    KJ_REQUIRE(source != nullptr, "no copy of the configuration");
    encode(source->copy(), call.getResults().initSnapshot());
    return kj::READY_NOW;
}

kj::Promise<void> entry_port::evacuate(EvacuateContext call)
{
    const auto session = m_session.lock();
    KJ_REQUIRE(session != nullptr, "the session is closed");
    session->receiveEvacuations(decode(call.getParams().getEvacuations()));
    return kj::READY_NOW;
}

} // namespace teaselward
