#pragma once

#include "log/logger.h"

#include <kj/exception.h>

namespace teaselward
{

/**
 * Sends the messages of the KJ library to the log instead of the standard error stream, for the thread that holds it on its
 * stack. It also turns off stack traces, for which the library could start a process.
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
