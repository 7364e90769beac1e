#include "http/pending_requests.h"

#include "http/response_sender.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <utility>

namespace teaselward
{

namespace detail
{

class pending_requests_private
{
public:
    absl::Mutex mutex;
    absl::flat_hash_map<std::uint64_t, pending_request> waiting ABSL_GUARDED_BY(mutex);
    std::uint64_t lastNumber ABSL_GUARDED_BY(mutex) = 0;
    bool closed ABSL_GUARDED_BY(mutex) = false;
};

} // namespace detail

pending_requests::pending_requests()
    : d(std::make_unique<detail::pending_requests_private>())
{
}

pending_requests::~pending_requests() = default;

// The connection is suspended under the lock, so that a thread that takes the request can resume it.
std::optional<std::uint64_t> pending_requests::add(const pending_request &request)
{
    const absl::MutexLock lock(&d->mutex);
    if (d->closed) {
        return std::nullopt;
    }
    suspendExchange(*request.exchange);
    d->waiting.emplace(++d->lastNumber, request);
    return d->lastNumber;
}

std::optional<pending_request> pending_requests::take(std::uint64_t number)
{
    const absl::MutexLock lock(&d->mutex);
    const auto found = d->waiting.find(number);
    if (found == d->waiting.end()) {
        return std::nullopt;
    }
    std::optional<pending_request> request(std::move(found->second));
    d->waiting.erase(found);
    return request;
}

void pending_requests::markPosted(std::uint64_t number)
{
    const absl::MutexLock lock(&d->mutex);
    if (const auto found = d->waiting.find(number); found != d->waiting.end()) {
        found->second.isPosted = true;
    }
}

// libmicrohttpd does not monitor suspended connections. The lock keeps them from being resumed during the check. The time is taken
// first: if the process is paused during the check, the result is as old as the pause.
connection_check pending_requests::checkConnections()
{
    connection_check result{.checkedAt = mono_clock::now(), .lastRequest = 0, .closed = {}};
    const absl::MutexLock lock(&d->mutex);
    if (d->waiting.empty()) {
        return result;
    }
    result.lastRequest = d->lastNumber;
    for (auto &[number, request] : d->waiting) {
        if (!request.isPosted) {
            result.lastRequest = std::min(result.lastRequest, number - 1);
        } else if (!request.isAbandoned && isClosedByPeer(*request.exchange)) {
            request.isAbandoned = true;
            result.closed.push_back(number);
        }
    }
    return result;
}

std::vector<pending_request> pending_requests::close()
{
    const absl::MutexLock lock(&d->mutex);
    d->closed = true;
    std::vector<pending_request> all;
    all.reserve(d->waiting.size());
    for (auto &[number, request] : d->waiting) {
        all.push_back(std::move(request));
    }
    d->waiting.clear();
    return all;
}

} // namespace teaselward
