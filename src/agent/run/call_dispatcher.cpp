#include "agent/run/call_dispatcher.h"

#include "agent/run/waiting_start.h"

#include <algorithm>
#include <deque>
#include <utility>
#include <variant>

namespace teaselward
{

namespace
{

// Removes all that would change the next instance of the endpoint.
void makeHarmless(list_runs &call)
{
    call.leaseEnd.reset();
    call.acknowledged = 0;
    call.wait = std::chrono::milliseconds::zero(); // The answer confirms the connection.
}

} // namespace

namespace detail
{

class call_dispatcher_private
{
public:
    explicit call_dispatcher_private(std::chrono::milliseconds limit)
        : startLimit(limit)
    {
    }

    const std::chrono::milliseconds startLimit;
    std::deque<waiting_start> starts;
    std::vector<run_call> others;
};

} // namespace detail

call_dispatcher::call_dispatcher(std::chrono::milliseconds startLimit)
    : d(std::make_unique<detail::call_dispatcher_private>(startLimit))
{
}

call_dispatcher::~call_dispatcher() = default;

void call_dispatcher::add(run_call call, mono_time now)
{
    if (auto *start = std::get_if<start_run>(&call)) {
        d->starts.push_back({.call = std::move(*start), .since = now});
    } else {
        d->others.push_back(std::move(call));
    }
}

void call_dispatcher::putBack(run_call call, mono_time now)
{
    if (auto *start = std::get_if<start_run>(&call)) {
        d->starts.push_front({.call = std::move(*start), .since = now});
    } else {
        d->others.insert(d->others.begin(), std::move(call));
    }
}

std::vector<run_call> call_dispatcher::takeReady(std::size_t idleConnections)
{
    std::vector<run_call> ready;
    for (; idleConnections > 0 && !d->starts.empty(); --idleConnections) {
        ready.emplace_back(std::move(d->starts.front().call));
        d->starts.pop_front();
    }
    for (run_call &call : std::exchange(d->others, {})) {
        if (auto *list = std::get_if<list_runs>(&call); list != nullptr && idleConnections == 0) {
            makeHarmless(*list);
        }
        idleConnections -= std::min<std::size_t>(idleConnections, 1); // libcurl prefers an idle connection.
        ready.push_back(std::move(call));
    }
    return ready;
}

// A stop changes nothing in the next instance, which has no run of the task. A lease on the clock of the former instance would hold the
// runs of the next one for as long as the endpoint allows, and ends of its runs would count as acknowledged.
bool call_dispatcher::needsConfirmed(const run_call &call)
{
    const auto *list = std::get_if<list_runs>(&call);
    return std::holds_alternative<start_run>(call) || (list != nullptr && (list->leaseEnd || list->acknowledged > 0));
}

std::vector<run_id> call_dispatcher::takeExpired(mono_time now)
{
    std::vector<run_id> expired;
    std::erase_if(d->starts, [this, now, &expired](const waiting_start &start) {
        const bool isExpired = now - start.since >= d->startLimit;
        if (isExpired) {
            expired.push_back(start.call.id);
        }
        return isExpired;
    });
    return expired;
}

std::size_t call_dispatcher::waitingStarts() const
{
    return d->starts.size();
}

mono_time call_dispatcher::nextDue() const
{
    mono_time due = mono_time::max();
    for (const waiting_start &start : d->starts) {
        due = std::min(due, start.since + d->startLimit);
    }
    return due;
}

void call_dispatcher::clear()
{
    d->starts.clear();
    d->others.clear();
}

} // namespace teaselward
