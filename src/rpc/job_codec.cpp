#include "rpc/job_codec.h"

#include "rpc/list_codec.h"
#include "rpc/text_codec.h"
#include "rpc/ticket_codec.h"

namespace teaselward
{

void encode(const job_request &value, wire::JobRequest::Builder out)
{
    encode(value.source, out.initSource());
    out.setTeam(wireText(value.team));
    out.setKind(wireText(value.kind));
    out.setTimeLimitMs(value.timeLimit.count());
    encodeData(value.payloads, out.initPayloads(static_cast<unsigned>(value.payloads.size())));
    out.setKey(wireText(value.key));
}

job_request decode(wire::JobRequest::Reader in)
{
    job_request value;
    value.source = decode(in.getSource());
    value.team = plainText(in.getTeam());
    value.kind = plainText(in.getKind());
    value.timeLimit = plainDuration<std::chrono::milliseconds>(in.getTimeLimitMs());
    value.payloads = decodeData(in.getPayloads());
    value.key = plainText(in.getKey());
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
    value.state = plainEnum(in.getState(), job_state::failed);
    value.why = plainEnum(in.getWhy(), reason::runStalled);
    value.notRun = in.getNotRun();
    value.results = decodeData(in.getResults());
    value.retryAfter = plainDuration<std::chrono::milliseconds>(in.getRetryAfterMs());
    return value;
}

} // namespace teaselward
