#include "http/curl_transport.h"

#include "http/caller_request.h"

namespace teaselward
{

caller_response curl_transport::post(const std::string &entry, const std::string &path, const std::string &body, std::chrono::milliseconds limit)
{
    caller_request call(entry, path, body, limit);
    const CURLcode code = curl_easy_perform(call.handle());
    return call.result(code);
}

} // namespace teaselward
