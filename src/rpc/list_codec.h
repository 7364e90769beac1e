#pragma once

#include "core/agent_task_status.h"
#include "core/crash_suspect.h"
#include "core/team_usage.h"
#include "rpc/wire.capnp.h"

#include <string>
#include <vector>

namespace teaselward
{

/**
 * Writes texts to a list in a message.
 * @param values the texts
 * @param out list of the same size
 */
void encodeTexts(const std::vector<std::string> &values, capnp::List<capnp::Text>::Builder out);

/** @return texts of a list in a message */
std::vector<std::string> decodeTexts(capnp::List<capnp::Text>::Reader in);

/**
 * Writes byte strings to a list in a message.
 * @param values the byte strings
 * @param out list of the same size
 */
void encodeData(const std::vector<std::string> &values, capnp::List<capnp::Data>::Builder out);

/** @return byte strings of a list in a message */
std::vector<std::string> decodeData(capnp::List<capnp::Data>::Reader in);

/**
 * Writes the quota usage of teams to a list in a message.
 * @param values usage of each team
 * @param out list of the same size
 */
void encodeUsage(const std::vector<team_usage> &values, capnp::List<wire::TeamUsage>::Builder out);

/** @return quota usage of teams from a list in a message */
std::vector<team_usage> decodeUsage(capnp::List<wire::TeamUsage>::Reader in);

/**
 * Writes the tasks of a ticket that an agent holds to a list in a message.
 * @param values the tasks
 * @param out list of the same size
 */
void encodeHeld(const std::vector<agent_task_status> &values, capnp::List<wire::HeldTask>::Builder out);

/** @return tasks that an agent holds, from a list in a message */
std::vector<agent_task_status> decodeHeld(capnp::List<wire::HeldTask>::Reader in);

/**
 * Writes the suspects of a crash to a list in a message.
 * @param values the suspects
 * @param out list of the same size
 */
void encodeSuspects(const std::vector<crash_suspect> &values, capnp::List<wire::CrashSuspect>::Builder out);

/**
 * Reads the suspects of a crash from a list in a message.
 * @throws kj::Exception if there are more than MaxCrashSuspects or the name of a kind is longer than MaxKindBytes
 */
std::vector<crash_suspect> decodeSuspects(capnp::List<wire::CrashSuspect>::Reader in);

} // namespace teaselward
