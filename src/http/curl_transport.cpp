#include "http/curl_transport.h"

#include "http/caller_call.h"

namespace teaselward
{

caller_result curl_transport::post(const std::string &entry, const std::string &path, const std::string &body, std::chrono::milliseconds limit)
{
    caller_call call(entry, path, body, limit);
    const CURLcode code = curl_easy_perform(call.handle());
    return call.result(code);
}

} // namespace teaselward
