#pragma once

#include "http/connection_check.h"
#include "http/pending_request.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace teaselward
{

namespace detail
{
class pending_requests_private;
}

/**
 * Requests of one listener that wait for an answer. Request numbers are never reused, so that a late answer cannot reach
 * another request. Any thread may use it.
 */
class pending_requests
{
public:
    pending_requests();
    ~pending_requests();

    pending_requests(const pending_requests &) = delete;
    pending_requests &operator=(const pending_requests &) = delete;

    /**
     * Suspends the connection of a request and adds the request.
     * @param request the request
     * @return its number, or std::nullopt after close(); then the connection is not suspended
     */
    std::optional<std::uint64_t> add(const pending_request &request);

    /**
     * Removes a request. Its connection stays suspended.
     * @param number number of the request
     * @return the request, or std::nullopt if the number is unknown or its request was taken before
     */
    std::optional<pending_request> take(std::uint64_t number);

    /**
     * Marks a request whose event is in the ring of the decision thread. checkConnections() ignores it before, because the decision
     * thread would learn that the caller has left before it learns of the request.
     * @param number number of the request
     */
    void markPosted(std::uint64_t number);

    /**
     * Checks which callers have closed their connections.
     * @return the result
     */
    connection_check checkConnections();

    /**
     * Accepts no further requests and removes all.
     * @return the requests that were waiting
     */
    std::vector<pending_request> close();

private:
    std::unique_ptr<detail::pending_requests_private> d;
};

} // namespace teaselward
