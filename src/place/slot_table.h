#pragma once

#include "base/clock.h"
#include "core/agent_id.h"
#include "core/agent_info.h"
#include "core/endpoint_status.h"
#include "core/separation_status.h"
#include "core/task_outcome.h"
#include "place/placement_group.h"
#include "place/placement_lane.h"
#include "place/speed_change.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

namespace detail
{
class slot_table_private;
}

/** Endpoints known to an entry, with their slot credits and health, and the choice among them. Used by the decision thread only. */
class slot_table
{
public:
    /**
     * Creates an empty table.
     * @param strategy name in the table of placement strategies
     * @param seed seed for strategies that use random numbers
     * @throws std::out_of_range if there is no such strategy
     */
    slot_table(std::string_view strategy, std::uint64_t seed);
    ~slot_table();

    slot_table(const slot_table &) = delete;
    slot_table &operator=(const slot_table &) = delete;

    /**
     * Adds an agent or renews its session.
     * @param info announcement of the agent
     * @param credits slot credits granted with the registration; they replace earlier ones
     * @param lease time that the session stays valid without a message; not used by the table
     * @param now current time
     */
    void join(const agent_info &info, std::uint32_t credits, std::chrono::milliseconds lease, mono_time now);

    /**
     * Excludes an agent from placement because its connection is lost or it is leaving.
     * @param agent the agent
     */
    void leave(const agent_id &agent);

    /**
     * Changes the credits of an agent.
     * @param agent the agent
     * @param delta credits granted; negative if recalled
     */
    void addCredits(const agent_id &agent, std::int32_t delta);

    /**
     * Checks whether acquire() would find an endpoint.
     * @param kind kind of the task
     * @param now current time
     * @param highPriority whether the kind may use the reserve for high-priority kinds
     * @param lane endpoints that the task may use
     */
    bool isPlaceable(std::string_view kind, mono_time now, bool highPriority = false, placement_lane lane = placement_lane::shared);

    /**
     * Chooses an endpoint for a task and uses one of its credits.
     * @param kind kind of the task
     * @param now current time
     * @param highPriority whether the kind may use the reserve for high-priority kinds
     * @param lane endpoints that the task may use
     * @param maxFactor largest run time factor at which the task is served in time
     * @param group endpoints that are preferred if they have a credit; none if empty
     * @return the agent of the endpoint; empty if there is no credit
     */
    std::optional<agent_id> acquire(std::string_view kind,
                                    mono_time now,
                                    bool highPriority = false,
                                    placement_lane lane = placement_lane::shared,
                                    double maxFactor = std::numeric_limits<double>::infinity(),
                                    std::optional<placement_group> group = std::nullopt);

    /**
     * Records the outcome of a task, from which the health of the endpoint is derived.
     * @param agent agent that ran the task
     * @param kind kind of the task
     * @param outcome its outcome
     * @param credits credits returned with the outcome
     * @param now current time
     */
    void release(const agent_id &agent, std::string_view kind, const task_outcome &outcome, std::int32_t credits, mono_time now);

    /**
     * Records the run time factor that an agent has reported.
     * @param agent the agent
     * @param factor run times at its endpoint over the expected ones; zero if unknown, which changes nothing
     */
    void setRunTimeFactor(const agent_id &agent, double factor);

    /**
     * Returns the factor of an endpoint that the forecasts of run times take out of a run there.
     * @param agent its agent
     * @return the factor; 1 if it is not known
     */
    double forecastFactor(const agent_id &agent) const;

    /** @return changes of speed classes since the last call */
    std::vector<speed_change> takeSpeedChanges();

    /**
     * Counts the slots that offer a kind, so that jobs that can never run are refused early.
     * @param kind kind of the tasks
     * @return slots of all connected endpoints that offer the kind, whether free or not
     */
    std::size_t slots(std::string_view kind) const;

    /**
     * Counts the slots of one lane.
     * @param kind kind of the tasks
     * @param lane the lane
     * @return slots of the connected endpoints of the lane that offer the kind, whether free or not
     */
    std::size_t slots(std::string_view kind, placement_lane lane) const;

    /**
     * Divides the endpoints among the lanes, or ends the division. While it lasts, endpoints that join are assigned too.
     * @param isolated whether the endpoints are divided
     * @param now current time
     */
    void setIsolated(bool isolated, mono_time now);

    /**
     * Sets the failure domains whose endpoints get no starts and no probes and whose slots are not counted.
     * @param domains all evacuated failure domains; a name without endpoints has no effect
     * @param now current time
     */
    void setEvacuated(const std::set<std::string> &domains, mono_time now);

    /**
     * Counts the connected endpoints of a failure domain.
     * @param domain name of the failure domain
     */
    std::size_t endpointsIn(std::string_view domain) const;

    /**
     * Divides the endpoints into two groups, or ends the division. While it lasts, endpoints that join are assigned too.
     * @param separated whether the endpoints are divided
     * @param now current time
     */
    void setSeparated(bool separated, mono_time now);

    /** @return how often a preferred group had a credit; without the number of pairs */
    separation_status separation() const;

    /** @return whether the endpoints are divided and some are reserved for suspect tasks, connected or not */
    bool hasSuspectLane() const;

    /** @return agents that are connected and not leaving */
    std::vector<agent_id> agents() const;

    /**
     * Returns the time at which the table changes without an event, for example for the next probe of an unhealthy endpoint.
     * @return the time; the maximum if there is none
     */
    mono_time nextDue() const;

    /** @return state of every known endpoint */
    std::vector<endpoint_status> status() const;

    /**
     * Sets how the baseline strategy two_choices queries the load of an agent. Without it the entry's own count is used.
     * @param probe returns the number of tasks that run or wait at an agent
     */
    void setLoadProbe(std::function<std::uint32_t(const agent_id &)> probe);

private:
    std::unique_ptr<detail::slot_table_private> d;
};

} // namespace teaselward
