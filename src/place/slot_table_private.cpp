#include "place/slot_table_private.h"

#include <algorithm>
#include <utility>

namespace teaselward::detail
{

namespace
{

constexpr std::size_t MaxLostEndpoints = 256; // An endpoint that reconnects soon keeps its health, and a day's restarts do not accumulate.

// At most one endpoint in this many is excluded as slow. Faults affect fewer: up to a fifth of the endpoints, or a rack with
// three of eleven.
constexpr std::size_t MinEndpointsPerSlow = 3;

constexpr std::size_t MaxSpeedChanges = 256; // Changes that nobody takes are not collected without bound.

// A crashed endpoint is back after a few seconds. It keeps its lane meanwhile; otherwise the lane would take in another endpoint
// after each crash, and the crashes would reach all endpoints in turn.
constexpr std::chrono::seconds LaneRetention{10};

} // namespace

endpoint_record *slot_table_private::find(const agent_id &agent)
{
    const auto found = agents.find(agent);
    return found == agents.end() ? nullptr : &endpoints[found->second];
}

std::size_t slot_table_private::findOrAdd(const agent_id &agent)
{
    const auto [found, added] = agents.try_emplace(agent, endpoints.size());
    if (!added) {
        return found->second;
    }
    if (freeIndexes.empty()) {
        endpoints.emplace_back();
    } else {
        found->second = freeIndexes.back();
        freeIndexes.pop_back();
    }
    return found->second;
}

std::size_t slot_table_private::kindIndex(std::string_view kind)
{
    const auto found = kindNames.find(kind);
    if (found != kindNames.end()) {
        return found->second;
    }
    kindNames.emplace(kind, kinds.size());
    kinds.emplace_back();
    return kinds.size() - 1;
}

// The number of pools is at most the number of distinct sets of kinds times the failure domains times the lanes, speed classes and
// groups, which stays small.
std::size_t slot_table_private::poolIndex(const endpoint_record &record)
{
    const agent_info &info = record.info;
    std::vector<std::string> sorted = info.kinds;
    std::sort(sorted.begin(), sorted.end());
    sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
    const placement_lane lane = laneOf(info.address);
    const placement_group group = groupOf(info.address);
    const auto found = std::find_if(pools.begin(), pools.end(), [&](const endpoint_pool &pool) {
        return pool.failureDomain == info.failureDomain && pool.lane == lane && pool.group == group && pool.speedClass == record.speedClass
            && pool.kinds == sorted;
    });
    if (found != pools.end()) {
        found->slots = std::max(found->slots, info.slots);
        return static_cast<std::size_t>(found - pools.begin());
    }
    endpoint_pool &pool = pools.emplace_back();
    pool.kinds = std::move(sorted);
    pool.failureDomain = info.failureDomain;
    pool.lane = lane;
    pool.isEvacuated = isEvacuated(info);
    pool.speedClass = record.speedClass;
    pool.runTimeFactor = speeds.classFactor(record.speedClass);
    pool.slots = info.slots;
    pool.group = group;
    for (const std::string &kind : pool.kinds) {
        kinds[kindIndex(kind)].pools.push_back(pools.size() - 1);
    }
    return pools.size() - 1;
}

placement_lane slot_table_private::laneOf(std::string_view address) const
{
    const auto found = lanes.find(address);
    return found == lanes.end() ? placement_lane::shared : found->second;
}

placement_group slot_table_private::groupOf(std::string_view address) const
{
    const auto found = groups.find(address);
    return found == groups.end() ? placement_group::first : found->second;
}

std::vector<std::string> slot_table_private::recentAddresses(mono_time now, bool withEvacuated) const
{
    std::vector<std::string> addresses;
    for (const endpoint_record &record : endpoints) {
        if (!withEvacuated && isEvacuated(record.info)) {
            continue; // A lane needs endpoints that get starts.
        }
        if (record.connected || (!record.info.address.empty() && !record.info.leaving && now - record.lostAt < LaneRetention)) {
            addresses.push_back(record.info.address);
        }
    }
    std::ranges::sort(addresses);
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    return addresses;
}

void slot_table_private::assignLanes(mono_time now)
{
    lanes.clear();
    if (isIsolated) {
        lanes = planIsolation(recentAddresses(now, false));
    }
    updatePools(now);
}

void slot_table_private::assignGroups(mono_time now)
{
    groups.clear();
    if (isSeparated) {
        groups = planSeparation(recentAddresses(now, true));
    }
    updatePools(now);
}

void slot_table_private::preferGroup(placement_group group)
{
    const auto isOther = [group](const endpoint_pool *pool) {
        return pool->group != group;
    };
    const bool hasCredit = !std::ranges::all_of(candidates, isOther);
    if (hasCredit) {
        std::erase_if(candidates, isOther);
    }
    ++(hasCredit ? separation.separated : separation.mixed);
}

void slot_table_private::updatePools(mono_time now)
{
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        const endpoint_record &record = endpoints[index];
        const endpoint_pool &pool = pools[record.pool];
        if (record.connected && (pool.lane != laneOf(record.info.address) || pool.group != groupOf(record.info.address))) {
            movePool(index, now);
        }
    }
}

void slot_table_private::movePool(std::size_t index, mono_time now)
{
    endpoint_record &record = endpoints[index];
    pools[record.pool].setLevel(endpoints, index, 0);
    countSlots(record, false);
    record.pool = poolIndex(record);
    countSlots(record, true);
    refresh(index, now);
}

void slot_table_private::reviewSpeeds(mono_time now)
{
    for (const std::size_t index : speeds.review(endpoints, now)) {
        endpoint_record &record = endpoints[index];
        if (!strategy->usesSpeed()) {
            continue;
        }
        const std::size_t former = std::exchange(record.speedClass, speedClass(record.relativeFactor, record.speedClass));
        movePool(index, now);
        if (speedChanges.size() < MaxSpeedChanges) {
            speedChanges.push_back({.agent = record.info.id, .relativeFactor = record.relativeFactor, .from = former, .to = record.speedClass});
        }
    }
    for (endpoint_pool &pool : pools) {
        pool.runTimeFactor = speeds.classFactor(pool.speedClass);
    }
}

bool slot_table_private::isInLane(std::size_t pool, placement_lane lane) const
{
    return !isIsolated || pools[pool].lane == lane;
}

bool slot_table_private::isEvacuated(const agent_info &info) const
{
    return evacuated.contains(info.failureDomain);
}

void slot_table_private::setEvacuated(const std::set<std::string> &domains, mono_time now)
{
    evacuated = domains;
    std::vector<std::size_t> changed;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        const endpoint_record &record = endpoints[index];
        if (record.connected && pools[record.pool].isEvacuated != isEvacuated(record.info)) {
            countSlots(record, false);
            changed.push_back(index);
        }
    }
    for (endpoint_pool &pool : pools) {
        pool.isEvacuated = evacuated.contains(pool.failureDomain);
    }
    for (const std::size_t index : changed) {
        countSlots(endpoints[index], true);
        refresh(index, now);
    }
    if (isIsolated) {
        assignLanes(now);
    }
}

// The slots of an evacuated failure domain are not counted, so that jobs which only it could serve are refused at once.
void slot_table_private::countSlots(const endpoint_record &record, bool isAdded)
{
    const endpoint_pool &pool = pools[record.pool];
    if (pool.isEvacuated) {
        return;
    }
    for (const std::string &kind : pool.kinds) {
        std::size_t &slots = kinds[kindIndex(kind)].slots.at(static_cast<std::size_t>(pool.lane));
        slots = isAdded ? slots + record.info.slots : slots - record.info.slots;
    }
}

void slot_table_private::disconnect(std::size_t index)
{
    endpoint_record &record = endpoints[index];
    if (!record.connected) {
        return;
    }
    record.connected = false;
    speeds.invalidate();
    record.lostAt = latestTime;
    record.credits = 0;
    record.probing = false;
    countSlots(record, false);
    refresh(index, latestTime);
}

// An endpoint is in the index only if a task may be sent there at once; probes are kept separately.
void slot_table_private::refresh(std::size_t index, mono_time now)
{
    endpoint_record &record = endpoints[index];
    const bool isAvailable = record.connected && !record.excluded && record.backoffUntil <= now && !pools[record.pool].isEvacuated;
    const std::uint32_t level = isAvailable ? strategy->level(record) : 0;
    if (level != record.level) {
        pools[record.pool].setLevel(endpoints, index, level);
    }
}

// If many endpoints look slow, the workload has changed rather than the endpoints.
bool slot_table_private::canExcludeSlow() const
{
    std::size_t connected = 0;
    std::size_t slow = 0;
    for (const endpoint_record &record : endpoints) {
        connected += record.connected ? 1 : 0;
        slow += record.connected && record.isSlow ? 1 : 0;
    }
    return (slow + 1) * MinEndpointsPerSlow <= connected;
}

void slot_table_private::applyDue(mono_time now)
{
    latestTime = std::max(latestTime, now);
    if (speeds.isReviewDue(now)) {
        reviewSpeeds(now);
    }
    while (!due.empty() && due.top().first <= now) {
        const std::size_t index = due.top().second;
        due.pop();
        endpoint_record &record = endpoints[index];
        if (record.connected && record.excluded && !record.probing && !record.probeDue && record.nextProbe <= now) {
            record.probeDue = true;
            probes.push_back(index);
        }
        refresh(index, now);
    }
}

void slot_table_private::schedule(std::size_t index, mono_time when)
{
    due.emplace(when, index);
}

std::size_t slot_table_private::findProbe(std::size_t kind, placement_lane lane) const
{
    for (std::size_t i = 0; i < probes.size(); ++i) {
        const endpoint_record &record = endpoints[probes[i]];
        const auto &offered = kinds[kind].pools;
        const bool offers = std::find(offered.begin(), offered.end(), record.pool) != offered.end();
        if (record.connected && offers && !pools[record.pool].isEvacuated && isInLane(record.pool, lane) && record.backoffUntil <= latestTime
            && strategy->level(record) > strategy->reservedLevels()) {
            return i;
        }
    }
    return probes.size();
}

void slot_table_private::dropLost()
{
    while (lostAgents.size() > MaxLostEndpoints) {
        const auto found = agents.find(lostAgents.front());
        lostAgents.pop_front();
        if (found == agents.end() || endpoints[found->second].connected) {
            continue;
        }
        const std::size_t index = found->second;
        for (const endpoint_kind_stats &stats : endpoints[index].kinds) {
            kinds[stats.kind].failureSum -= stats.failureRatio;
            --kinds[stats.kind].reporting;
        }
        std::erase(probes, index);
        endpoints[index] = endpoint_record{};
        freeIndexes.push_back(index);
        agents.erase(found);
    }
}

} // namespace teaselward::detail
