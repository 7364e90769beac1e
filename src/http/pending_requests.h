#pragma once

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
 * Requests of one listener that wait for an answer. Numbers are never used again, so that a late answer cannot reach
 * another request. It may be used from several threads at once.
 */
class pending_requests
{
public:
    pending_requests();
    ~pending_requests();

    pending_requests(const pending_requests &) = delete;
    pending_requests &operator=(const pending_requests &) = delete;

    /**
     * Suspends the connection of a request and enters the request.
     * @param request the request
     * @return its number, or nothing after close(); then the connection is not suspended
     */
    std::optional<std::uint64_t> add(const pending_request &request);

    /**
     * Removes a request. Its connection stays suspended.
     * @param number number of the request
     * @return the request, or nothing if the number is unknown or was taken before
     */
    std::optional<pending_request> take(std::uint64_t number);

    /**
     * Finds the requests whose callers have closed their connections; each is returned once.
     * @return their numbers
     */
    std::vector<std::uint64_t> takeAbandoned();

    /**
     * Accepts no further requests and removes all.
     * @return the requests that were waiting
     */
    std::vector<pending_request> close();

private:
    std::unique_ptr<detail::pending_requests_private> d;
};

} // namespace teaselward
