#pragma once

#include "core/reason.h"
#include "core/task_outcome.h"

#include <memory>
#include <string>

namespace teaselward
{

namespace detail
{
class run_metrics_private;
}

/** Metrics of the task runs at the endpoint of an agent, over all instances of the endpoint. Thread-safe. */
class run_metrics
{
public:
    run_metrics();
    ~run_metrics();

    run_metrics(const run_metrics &) = delete;
    run_metrics &operator=(const run_metrics &) = delete;

    /**
     * Counts a run that has ended or was not started.
     * @param outcome outcome, with the time from the order to the end
     */
    void countRun(const task_outcome &outcome);

    /** Counts a call that the endpoint did not answer. */
    void countUnansweredCall();

    /** Counts an instance of the endpoint that the agent has adopted. */
    void countEndpointInstance();

    /** Counts an instance of the endpoint that ended while runs were in progress. */
    void countEndpointCrash();

    /**
     * Sets the run time factor of the endpoint.
     * @param factor run times over the expected ones; zero if unknown
     */
    void setRunTimeFactor(double factor);

    /** @return all metrics in the text exposition format */
    std::string text() const;

private:
    std::unique_ptr<detail::run_metrics_private> d;
};

} // namespace teaselward
