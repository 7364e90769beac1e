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

    void addCalls(run_supervisor &supervisor, mono_time now);
    void reportExpired(run_supervisor &supervisor, mono_time now);
    void takeReady(std::size_t idleConnections, std::vector<run_call> &ready);

    const std::chrono::milliseconds startLimit;
    std::deque<waiting_start> starts;
    std::vector<run_call> others;
};

void call_dispatcher_private::addCalls(run_supervisor &supervisor, mono_time now)
{
    for (run_call &call : supervisor.takeCalls()) {
        if (auto *start = std::get_if<start_run>(&call)) {
            starts.push_back({.call = std::move(*start), .since = now});
        } else {
            others.push_back(std::move(call));
        }
    }
}

void call_dispatcher_private::reportExpired(run_supervisor &supervisor, mono_time now)
{
    std::vector<run_id> expired;
    std::erase_if(starts, [this, now, &expired](const waiting_start &start) {
        const bool isExpired = now - start.since >= startLimit;
        if (isExpired) {
            expired.push_back(start.call.id);
        }
        return isExpired;
    });
    for (const run_id &id : expired) {
        supervisor.startAnswered(id, call_result::unsent, now);
    }
}

void call_dispatcher_private::takeReady(std::size_t idleConnections, std::vector<run_call> &ready)
{
    for (; idleConnections > 0 && !starts.empty(); --idleConnections) {
        ready.emplace_back(std::move(starts.front().call));
        starts.pop_front();
    }
    for (run_call &call : std::exchange(others, {})) {
        if (auto *list = std::get_if<list_runs>(&call); list != nullptr && idleConnections == 0) {
            makeHarmless(*list);
        }
        idleConnections -= std::min<std::size_t>(idleConnections, 1); // libcurl prefers an idle connection.
        ready.push_back(std::move(call));
    }
}

} // namespace detail

call_dispatcher::call_dispatcher(std::chrono::milliseconds startLimit)
    : d(std::make_unique<detail::call_dispatcher_private>(startLimit))
{
}

call_dispatcher::~call_dispatcher() = default;

std::vector<run_call> call_dispatcher::collect(run_supervisor &supervisor, std::size_t idleConnections, std::size_t openingLists, mono_time now)
{
    std::vector<run_call> ready;
    d->addCalls(supervisor, now);
    d->reportExpired(supervisor, now);
    if (supervisor.isLost()) {
        clear(); // The runs of the starts that wait were reported as ended.
        return ready;
    }
    d->takeReady(idleConnections, ready);
    openingLists += static_cast<std::size_t>(std::ranges::count_if(ready, [](const run_call &call) {
        return std::holds_alternative<list_runs>(call) && !needsConfirmed(call);
    }));
    for (; openingLists < d->starts.size(); ++openingLists) {
        supervisor.requestLists(now);
    }
    d->addCalls(supervisor, now);
    d->takeReady(0, ready);
    return ready;
}

void call_dispatcher::putBack(run_call call, mono_time now)
{
    if (auto *start = std::get_if<start_run>(&call)) {
        d->starts.push_front({.call = std::move(*start), .since = now});
    } else {
        d->others.insert(d->others.begin(), std::move(call));
    }
}

// A stop changes nothing in the next instance, which has no run of the task. A lease on the clock of the former instance would hold the
// runs of the next one for as long as the endpoint allows, and ends of its runs would count as acknowledged.
bool call_dispatcher::needsConfirmed(const run_call &call)
{
    const auto *list = std::get_if<list_runs>(&call);
    return std::holds_alternative<start_run>(call) || (list != nullptr && (list->leaseEnd || list->acknowledged > 0));
}

// A start that is put back begins to wait anew, so the first start need not be the one that has waited longest.
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
