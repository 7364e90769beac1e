#include "rpc/info_codec.h"

#include "rpc/factor_codec.h"
#include "rpc/list_codec.h"
#include "rpc/text_codec.h"

namespace teaselward
{

void encode(const agent_info &value, wire::AgentInfo::Builder out)
{
    out.setId(value.id.value);
    out.setAddress(toWireText(value.address));
    out.setFailureDomain(toWireText(value.failureDomain));
    out.setSlots(value.slots);
    out.setConnections(value.connections);
    encodeTexts(value.kinds, out.initKinds(static_cast<unsigned>(value.kinds.size())));
    out.setLeaving(value.leaving);
    out.setEndpointStartMs(value.endpointStart.count());
    out.setFencingToken(value.fencingToken);
    out.setMachineType(toWireText(value.machineType));
    out.setRunTimeFactor(value.runTimeFactor);
}

agent_info decode(wire::AgentInfo::Reader in)
{
    agent_info value;
    value.id = agent_id{in.getId()};
    value.address = fromWireText(in.getAddress());
    value.failureDomain = fromWireText(in.getFailureDomain());
    value.slots = in.getSlots();
    value.connections = in.getConnections();
    value.kinds = decodeTexts(in.getKinds());
    value.leaving = in.getLeaving();
    value.endpointStart = std::chrono::milliseconds(in.getEndpointStartMs());
    value.fencingToken = in.getFencingToken();
    value.machineType = fromWireText(in.getMachineType());
    value.runTimeFactor = fromWireFactor(in.getRunTimeFactor());
    return value;
}

void encode(const entry_info &value, wire::EntryInfo::Builder out)
{
    out.setId(value.id.value);
    out.setAddress(toWireText(value.address));
    out.setFailureDomain(toWireText(value.failureDomain));
}

entry_info decode(wire::EntryInfo::Reader in)
{
    return {entry_id{in.getId()}, fromWireText(in.getAddress()), fromWireText(in.getFailureDomain())};
}

} // namespace teaselward
