#include "rpc/kj_log.h"

#include <algorithm>
#include <string>

namespace teaselward
{

namespace
{

// The library's messages can contain a dump of the RPC message that caused them.
constexpr std::size_t MaxTextBytes = 200;

} // namespace

kj_log::kj_log(logger &log)
    : m_log(log)
{
}

void kj_log::logMessage(kj::LogSeverity /*severity*/, const char * /*file*/, int /*line*/, int /*contextDepth*/, kj::String &&text)
{
    if (m_log.isEnabled()) {
        m_log.write(log_part::rpc, "Message of the RPC library. text=" + std::string(text.cStr(), std::min(text.size(), MaxTextBytes)));
    }
}

kj::ExceptionCallback::StackTraceMode kj_log::stackTraceMode()
{
    return StackTraceMode::NONE;
}

} // namespace teaselward
