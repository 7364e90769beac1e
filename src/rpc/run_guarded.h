#pragma once

#include "log/logger.h"

#include <kj/exception.h>

#include <string>

namespace teaselward
{

/**
 * Runs a step of an event loop. An exception is logged and dropped, so that a fault of one connection does not end the loop.
 * @param log receiver of the log line if the step fails
 * @param step name of the step for the log
 * @param function the step
 */
template<typename F>
void runGuarded(logger &log, const char *step, F &&function)
{
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions(function)) {
        log.write(log_part::rpc, std::string("A step of the event loop failed. step=") + step + " text=" + exception->getDescription().cStr());
    }
}

} // namespace teaselward
