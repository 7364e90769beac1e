#pragma once

#include "rpc/welcome.h"
#include "rpc/wire.capnp.h"

namespace teaselward
{

/**
 * Writes the answer to the first message of a connection.
 * @param value the value
 * @param out part of the message
 */
void encode(const welcome &value, wire::Welcome::Builder out);

/**
 * Reads the answer to the first message of a connection.
 * @param in part of the message
 * @return the value
 */
welcome decode(wire::Welcome::Reader in);

} // namespace teaselward
