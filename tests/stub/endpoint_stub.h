#pragma once

#include "stub/endpoint_stub_settings.h"

#include <memory>
#include <string>
#include <vector>

namespace teaselward
{

namespace detail
{
class endpoint_stub_private;
}

/**
 * Stub of an endpoint: POST /run/KIND returns the request body in upper case. A running task occupies no thread: starting a
 * thread per connection took 2 ms on a busy machine, which would distort the measured response times of the system.
 */
class endpoint_stub
{
public:
    /**
     * Opens the listener.
     * @param settings listen address and behaviour
     * @throws std::runtime_error if the listener cannot be opened
     */
    explicit endpoint_stub(const endpoint_stub_settings &settings);
    ~endpoint_stub();

    endpoint_stub(const endpoint_stub &) = delete;
    endpoint_stub &operator=(const endpoint_stub &) = delete;

    /** @return address of the listener as IP:PORT */
    std::string address() const;

    /** @return values of the Teaselward-Task header of all requests, in order of arrival */
    std::vector<std::string> tasks() const;

    /** @return paths of all requests, in order of arrival */
    std::vector<std::string> paths() const;

    /** @return largest number of requests that were in progress at the same time */
    int maxConcurrentRequests() const;

private:
    std::unique_ptr<detail::endpoint_stub_private> d;
};

} // namespace teaselward
