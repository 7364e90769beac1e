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
 * Stand-in for an endpoint: POST /run/KIND answers with the body in upper case. A running task holds no thread, because a new
 * thread for each connection took 2 ms on a busy machine and would show in the response times of the system.
 */
class endpoint_stub
{
public:
    /**
     * Opens the listener.
     * @param settings the behaviour
     * @throws std::runtime_error if the listener cannot be opened
     */
    explicit endpoint_stub(const endpoint_stub_settings &settings);
    ~endpoint_stub();

    endpoint_stub(const endpoint_stub &) = delete;
    endpoint_stub &operator=(const endpoint_stub &) = delete;

    /** @return address of the listener as IP:PORT */
    std::string address() const;

    /** @return values of the header Teaselward-Task of all requests in the order of their arrival */
    std::vector<std::string> tasks() const;

    /** @return paths of all requests in the order of their arrival */
    std::vector<std::string> paths() const;

    /** @return most requests that were in progress at once */
    int maxConcurrentRequests() const;

private:
    std::unique_ptr<detail::endpoint_stub_private> d;
};

} // namespace teaselward
