#pragma once

#include "http/caller_transport.h"

namespace teaselward
{

/** Sends the requests of a caller over TCP. */
class curl_transport : public caller_transport
{
public:
    caller_response post(const std::string &entry, const std::string &path, const std::string &body, std::chrono::milliseconds limit) override;
};

} // namespace teaselward
