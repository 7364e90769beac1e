#pragma once

#include "log/logger.h"

#include <kj/exception.h>

#include <string>

namespace teaselward
{

/**
 * Runs a step of an event loop that must go on whatever one connection does.
 * @param log receiver of a line if the step fails
 * @param step name of the step for the log
 * @param function the step
 */
template<typename F>
void runGuarded(logger &log, const char *step, F &&function)
{
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions(function)) {
        log.write(log_part::rpc, std::string("step failed step=") + step + " text=" + exception->getDescription().cStr());
    }
}

} // namespace teaselward
