#include "rpc/kj_log.h"

#include <algorithm>
#include <string>

namespace teaselward
{

namespace
{

// Texts of the library can contain a dump of the message that caused them.
constexpr std::size_t MaxTextBytes = 200;

} // namespace

kj_log::kj_log(logger &log)
    : m_log(log)
{
}

void kj_log::logMessage(kj::LogSeverity /*severity*/, const char * /*file*/, int /*line*/, int /*contextDepth*/, kj::String &&text)
{
    if (m_log.isEnabled()) {
        m_log.write(log_part::rpc, "library message text=" + std::string(text.cStr(), std::min(text.size(), MaxTextBytes)));
    }
}

kj::ExceptionCallback::StackTraceMode kj_log::stackTraceMode()
{
    return StackTraceMode::NONE;
}

} // namespace teaselward
