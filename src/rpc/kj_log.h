#pragma once

#include "log/logger.h"

#include <kj/exception.h>

namespace teaselward
{

/**
 * Redirects messages of the KJ library from the standard error stream to the log, for the thread that has this object on its
 * stack. It also turns off stack traces, for which the library may start a child process.
 */
class kj_log : public kj::ExceptionCallback
{
public:
    /** @param log receiver of the log lines; it must outlive this object */
    explicit kj_log(logger &log);

    void logMessage(kj::LogSeverity severity, const char *file, int line, int contextDepth, kj::String &&text) override;
    StackTraceMode stackTraceMode() override;

private:
    logger &m_log;
};

} // namespace teaselward
