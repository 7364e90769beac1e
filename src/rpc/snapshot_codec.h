#pragma once

#include "rpc/config_snapshot.h"
#include "rpc/wire.capnp.h"

namespace teaselward
{

/**
 * Writes a copy of the configuration to a message.
 * @param value the value
 * @param out part of the message
 */
void encode(const config_snapshot &value, wire::Snapshot::Builder out);

/**
 * Reads a copy of the configuration from a message.
 * @param in part of the message
 * @return the value
 */
config_snapshot decode(wire::Snapshot::Reader in);

} // namespace teaselward
