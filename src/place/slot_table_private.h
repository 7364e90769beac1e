#pragma once

#include "place/slot_table.h"

#include "place/endpoint_pool.h"
#include "place/endpoint_record.h"
#include "place/endpoint_speeds.h"
#include "place/health_monitor.h"
#include "place/isolation_plan.h"
#include "place/kind_record.h"
#include "place/placement_strategies.h"
#include "place/separation_plan.h"
#include "place/speed_change.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace teaselward::detail
{

/** State of slot_table. */
class slot_table_private
{
public:
    /** Time of an evaluation and index of the endpoint. */
    using due_entry = std::pair<mono_time, std::size_t>;

    slot_table_private(std::string_view strategyName, std::uint64_t seed)
        : strategy(makePlacementStrategy(strategyName))
        , random(seed)
    {
    }

    /** @return the endpoint of an agent, or null */
    endpoint_record *find(const agent_id &agent);

    /** Finds or creates the endpoint of an agent. */
    std::size_t findOrAdd(const agent_id &agent);

    /** Finds or creates the index of a kind. */
    std::size_t kindIndex(std::string_view kind);

    /** Finds or creates the pool of the endpoint's kinds, failure domain, lane, speed class and group. */
    std::size_t poolIndex(const endpoint_record &record);

    /** Moves a connected endpoint to the pool of its present lane and speed class. */
    void movePool(std::size_t index, mono_time now);

    /** Compares the speeds of the endpoints and moves those whose class has changed. */
    void reviewSpeeds(mono_time now);

    /** @return lane of an address; shared unless the endpoints are divided */
    placement_lane laneOf(std::string_view address) const;

    /** @return group of an address; the first unless the endpoints are divided into groups */
    placement_group groupOf(std::string_view address) const;

    /**
     * Collects the addresses of the endpoints that are connected or were so until a few seconds ago.
     * @param now current time
     * @param withEvacuated whether to include those of evacuated failure domains
     */
    std::vector<std::string> recentAddresses(mono_time now, bool withEvacuated) const;

    /** Divides the known endpoints into groups and moves them to the pools of their groups. */
    void assignGroups(mono_time now);

    /** Moves the endpoints whose lane or group has changed to their pools. */
    void updatePools(mono_time now);

    /** Keeps only the candidates of a group if there are any. */
    void preferGroup(placement_group group);

    /** Divides the known endpoints among the lanes and moves them to the pools of their lanes. */
    void assignLanes(mono_time now);

    /** @return whether a pool belongs to a lane */
    bool isInLane(std::size_t pool, placement_lane lane) const;

    /** @return whether the failure domain of an agent is evacuated */
    bool isEvacuated(const agent_info &info) const;

    /** Replaces the evacuated failure domains and updates the endpoints of those that have changed. */
    void setEvacuated(const std::set<std::string> &domains, mono_time now);

    /** Adds or removes the slots of an endpoint in the counts of its kinds and its lane. */
    void countSlots(const endpoint_record &record, bool isAdded);

    /** Excludes an endpoint from placement and from the number of slots. */
    void disconnect(std::size_t index);

    /** Recomputes the level of an endpoint after any change. */
    void refresh(std::size_t index, mono_time now);

    /** Ends the backoffs and schedules the probes that are due. */
    void applyDue(mono_time now);

    /** Schedules another evaluation of an endpoint. */
    void schedule(std::size_t index, mono_time when);

    /**
     * Finds an excluded endpoint of a lane that is due for a probe. Returns its position in probes, or the number of probes if
     * there is none.
     */
    std::size_t findProbe(std::size_t kind, placement_lane lane) const;

    /** Drops the oldest disconnected endpoints, so that restarts do not use up the memory. */
    void dropLost();

    /** @return whether so few endpoints are excluded as slow that another may be */
    bool canExcludeSlow() const;

    std::unique_ptr<placement_strategy> strategy;
    random_source random;
    health_monitor health;
    endpoint_speeds speeds;
    std::vector<speed_change> speedChanges; ///< Since the last call of takeSpeedChanges(); at most MaxSpeedChanges.
    placement_strategy::load_probe loadProbe = [this](std::size_t index) {
        return endpoints[index].outstanding;
    };
    std::deque<endpoint_record> endpoints;
    std::vector<std::size_t> freeIndexes; ///< Free indexes in endpoints.
    std::deque<agent_id> lostAgents; ///< Agents that left, oldest first.
    absl::flat_hash_map<agent_id, std::size_t> agents; ///< Indexes in endpoints.
    std::map<std::string, std::size_t, std::less<>> kindNames; ///< Indexes in kinds.
    std::deque<kind_record> kinds;
    std::deque<endpoint_pool> pools;
    std::vector<const endpoint_pool *> candidates; ///< Reused between calls to avoid allocations.
    std::vector<std::size_t> probes; ///< Excluded endpoints that are due for a probe.
    std::priority_queue<due_entry, std::vector<due_entry>, std::greater<>> due; ///< Scheduled evaluations, earliest first.
    mono_time latestTime{}; ///< Latest time passed by a caller.
    bool isIsolated = false; ///< Whether the endpoints are divided among the lanes.
    std::set<std::string> evacuated; ///< Evacuated failure domains.
    bool isSeparated = false; ///< Whether the endpoints are divided into groups.
    std::map<std::string, placement_group, std::less<>> groups; ///< By address; empty unless the endpoints are divided into groups.
    separation_status separation; ///< Placements with a preferred group.
    std::map<std::string, placement_lane, std::less<>> lanes; ///< By address; empty unless the endpoints are divided.
};

} // namespace teaselward::detail
