#include "rpc/snapshot_codec.h"

#include "rpc/text_codec.h"

namespace teaselward
{

void encode(const config_snapshot &value, wire::Snapshot::Builder out)
{
    out.setOffset(value.offset);
    out.setText(toWireData(value.text));
}

config_snapshot decode(wire::Snapshot::Reader in)
{
    return {in.getOffset(), fromWireData(in.getText())};
}

} // namespace teaselward
