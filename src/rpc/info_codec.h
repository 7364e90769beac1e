#pragma once

#include "core/agent_info.h"
#include "core/entry_info.h"
#include "rpc/wire.capnp.h"

namespace teaselward
{

/**
 * Writes the announcement of an agent to a message.
 * @param value the value
 * @param out part of the message
 */
void encode(const agent_info &value, wire::AgentInfo::Builder out);

/**
 * Reads the announcement of an agent from a message.
 * @param in part of the message
 * @return the value
 */
agent_info decode(wire::AgentInfo::Reader in);

/**
 * Writes the announcement of an entry to a message.
 * @param value the value
 * @param out part of the message
 */
void encode(const entry_info &value, wire::EntryInfo::Builder out);

/**
 * Reads the announcement of an entry from a message.
 * @param in part of the message
 * @return the value
 */
entry_info decode(wire::EntryInfo::Reader in);

} // namespace teaselward
