#include "rpc/snapshot_codec.h"

#include "rpc/text_codec.h"

namespace teaselward
{

void encode(const config_snapshot &value, wire::Snapshot::Builder out)
{
    out.setOffset(value.offset);
    out.setText(wireData(value.text));
}

config_snapshot decode(wire::Snapshot::Reader in)
{
    return {in.getOffset(), plainData(in.getText())};
}

} // namespace teaselward
