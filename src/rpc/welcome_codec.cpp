#include "rpc/welcome_codec.h"

#include "rpc/info_codec.h"
#include "rpc/list_codec.h"
#include "rpc/text_codec.h"

namespace teaselward
{

void encode(const welcome &value, wire::Welcome::Builder out)
{
    out.setAccepted(value.accepted);
    out.setVersion(value.version);
    encode(value.self, out.initSelf());
    out.setLeaseMs(value.lease.count());
    encodeTexts(value.entries, out.initEntries(static_cast<unsigned>(value.entries.size())));
    out.setConfigOffset(value.configOffset);
}

welcome decode(wire::Welcome::Reader in)
{
    welcome value;
    value.accepted = in.getAccepted();
    value.version = in.getVersion();
    value.self = decode(in.getSelf());
    value.lease = fromWireDuration<std::chrono::milliseconds>(in.getLeaseMs());
    value.entries = decodeTexts(in.getEntries());
    value.configOffset = in.getConfigOffset();
    return value;
}

} // namespace teaselward
