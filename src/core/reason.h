#pragma once

#include <cstdint>

namespace teaselward
{

/** Closed set of reasons for refusals and failures. */
enum class reason : std::uint8_t {
    none, ///< No refusal or failure.
    malformed, ///< The request cannot be parsed or breaks a limit.
    tooLarge, ///< The body is above the limit.
    badTicket, ///< Format or MAC of the ticket is wrong.
    ticketExpired, ///< The lifetime of the ticket is over.
    ticketReused, ///< The ticket was used with other content.
    unknownKind, ///< The configuration has no such kind.
    unknownTeam, ///< The configuration has no such team.
    noEndpoint, ///< No endpoint offers the kind.
    quotaExceeded, ///< The quota of the team is used up.
    queueFull, ///< A bounded queue is full.
    overloaded, ///< A ring of the process is full.
    deadlineUnreachable, ///< According to the measured run times, the job cannot meet its deadline.
    draining, ///< The process is stopping.
    homeUnreachable, ///< The home entry of the ticket does not answer.
    kindFailing, ///< Recent tasks of the kind failed on all endpoints.
    taskFailed, ///< An endpoint reported failure.
    deadlineExceeded, ///< The deadline passed.
    cancelled, ///< The caller cancelled the job.
    outcomeUnknown, ///< A start may have happened and its outcome is lost.
    unknownJob, ///< The ticket has no job.
    logUnavailable, ///< The platform log does not answer.
    conflict, ///< The base version is not the current one.
    invalid, ///< The configuration file is not valid.
    versionMismatch, ///< The peer speaks another protocol version.
    unauthorized, ///< The bearer token is missing or wrong.
    ticketClosed, ///< An earlier submission of the ticket was refused as not run.
    runStalled, ///< A run made no progress at its endpoint and was stopped.
    evacuated, ///< The operators have evacuated the failure domain of the endpoint.
};

} // namespace teaselward
