#include "rpc/job_codec.h"

#include "rpc/list_codec.h"
#include "rpc/text_codec.h"
#include "rpc/ticket_codec.h"

namespace teaselward
{

void encode(const job_request &value, wire::JobRequest::Builder out)
{
    encode(value.source, out.initSource());
    out.setTeam(toWireText(value.team));
    out.setKind(toWireText(value.kind));
    out.setTimeLimitMs(value.timeLimit.count());
    encodeData(value.payloads, out.initPayloads(static_cast<unsigned>(value.payloads.size())));
    out.setKey(toWireText(value.key));
}

job_request decode(wire::JobRequest::Reader in)
{
    job_request value;
    value.source = decode(in.getSource());
    value.team = fromWireText(in.getTeam());
    value.kind = fromWireText(in.getKind());
    value.timeLimit = fromWireDuration<std::chrono::milliseconds>(in.getTimeLimitMs());
    value.payloads = decodeData(in.getPayloads());
    value.key = fromWireText(in.getKey());
    return value;
}

void encode(const job_answer &value, wire::JobAnswer::Builder out)
{
    out.setState(static_cast<std::uint8_t>(value.state));
    out.setWhy(static_cast<std::uint8_t>(value.why));
    out.setNotRun(value.notRun);
    encodeData(value.results, out.initResults(static_cast<unsigned>(value.results.size())));
    out.setRetryAfterMs(value.retryAfter.count());
}

job_answer decode(wire::JobAnswer::Reader in)
{
    job_answer value;
    value.state = fromWireEnum(in.getState(), job_state::failed);
    value.why = fromWireEnum(in.getWhy(), reason::evacuated);
    value.notRun = in.getNotRun();
    value.results = decodeData(in.getResults());
    value.retryAfter = fromWireDuration<std::chrono::milliseconds>(in.getRetryAfterMs());
    return value;
}

} // namespace teaselward
