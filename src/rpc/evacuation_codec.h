#pragma once

#include "core/evacuation_state.h"
#include "rpc/wire.capnp.h"

namespace teaselward
{

/**
 * Writes the evacuated failure domains to a message.
 * @param value the state
 * @param out the message
 */
void encode(const evacuation_state &value, wire::Evacuations::Builder out);

/**
 * Reads the evacuated failure domains from a message.
 * @param in the message
 * @return the state
 * @throws kj::Exception if there are more than MaxEvacuatedDomains or a name is longer than MaxDomainBytes
 */
evacuation_state decode(wire::Evacuations::Reader in);

} // namespace teaselward
