#include "rpc/task_codec.h"

#include "rpc/text_codec.h"
#include "rpc/ticket_codec.h"

namespace teaselward
{

void encode(const task_outcome &value, wire::TaskOutcome::Builder out)
{
    out.setVerdict(static_cast<std::uint8_t>(value.verdict));
    out.setWhy(static_cast<std::uint8_t>(value.why));
    out.setBody(toWireData(value.body));
    out.setRunTimeUs(value.runTime.count());
    out.setCrashed(value.endpointCrashed);
}

task_outcome decode(wire::TaskOutcome::Reader in)
{
    task_outcome value;
    value.verdict = fromWireEnum(in.getVerdict(), task_verdict::interrupted);
    value.why = fromWireEnum(in.getWhy(), reason::evacuated);
    value.body = fromWireData(in.getBody());
    value.runTime = fromWireDuration<std::chrono::microseconds>(in.getRunTimeUs());
    value.endpointCrashed = in.getCrashed();
    return value;
}

void encode(const agent_task_status &value, wire::HeldTask::Builder out)
{
    encode(value.id, out.initId());
    out.setState(static_cast<std::uint8_t>(value.state));
    encode(value.outcome, out.initOutcome());
}

agent_task_status decode(wire::HeldTask::Reader in)
{
    return {decode(in.getId()), fromWireEnum(in.getState(), agent_task_state::finished), decode(in.getOutcome())};
}

void encode(const start_order &value, wire::StartOrder::Builder out)
{
    encode(value.id, out.initId());
    out.setKind(toWireText(value.kind));
    out.setTeam(toWireText(value.team));
    out.setPayload(toWireData(value.payload));
    out.setTimeLimitMs(value.timeLimit.count());
    out.setDemand(value.demand);
    out.setKey(toWireText(value.key));
    out.setCpuMillis(value.needs.cpuMillis);
    out.setMemoryMb(value.needs.memoryMb);
    out.setGpus(value.needs.gpus);
    out.setRestartable(value.restartable);
    out.setComesFirst(value.highPriority);
    out.setEstimateMs(value.estimate.count());
    out.setExpectedRunUs(value.expectedRun.count());
    out.setHasSlack(value.slack.has_value());
    out.setSlackMs(value.slack.value_or(std::chrono::milliseconds::zero()).count());
    out.setHasCrashAge(value.crashAge.has_value());
    out.setCrashAgeMs(value.crashAge.value_or(std::chrono::milliseconds::zero()).count());
}

start_order decode(wire::StartOrder::Reader in)
{
    start_order value;
    value.id = decode(in.getId());
    value.kind = fromWireText(in.getKind());
    value.team = fromWireText(in.getTeam());
    value.payload = fromWireData(in.getPayload());
    value.timeLimit = fromWireDuration<std::chrono::milliseconds>(in.getTimeLimitMs());
    value.demand = in.getDemand();
    value.key = fromWireText(in.getKey());
    value.needs = {.cpuMillis = in.getCpuMillis(), .memoryMb = in.getMemoryMb(), .gpus = in.getGpus()};
    value.restartable = in.getRestartable();
    value.highPriority = in.getComesFirst();
    value.estimate = fromWireDuration<std::chrono::milliseconds>(in.getEstimateMs());
    value.expectedRun = fromWireDuration<std::chrono::microseconds>(in.getExpectedRunUs());
    if (in.getHasSlack()) {
        value.slack = fromWireDuration<std::chrono::milliseconds>(in.getSlackMs());
    }
    if (in.getHasCrashAge()) {
        value.crashAge = fromWireDuration<std::chrono::milliseconds>(in.getCrashAgeMs());
    }
    return value;
}

} // namespace teaselward
