#pragma once

#include "http/caller_response.h"

#include <chrono>
#include <string>

namespace teaselward
{

/** Sends the requests of a caller to entries. */
class caller_transport
{
public:
    virtual ~caller_transport() = default;

    /**
     * Sends a request and waits for its response.
     * @param entry address of the entry as IP:PORT
     * @param path path of the request
     * @param body JSON text
     * @param limit maximum time until the response is complete
     * @return the response; not answered if the entry cannot be reached or the connection is lost
     */
    virtual caller_response post(const std::string &entry, const std::string &path, const std::string &body, std::chrono::milliseconds limit) = 0;
};

} // namespace teaselward
