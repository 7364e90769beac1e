#include "place/slot_table.h"

#include "place/slot_table_private.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace teaselward
{

namespace
{

// Describes the health of an endpoint for operators, the most important condition first.
endpoint_health healthOf(const endpoint_record &record, bool isEvacuated, mono_time now, std::string &why)
{
    if (!record.connected) {
        why = record.info.leaving ? "announced that it stops" : "not connected";
        return record.info.leaving ? endpoint_health::leaving : endpoint_health::lost;
    }
    if (isEvacuated) {
        why = "its failure domain is evacuated: " + record.info.failureDomain;
        return endpoint_health::evacuated;
    }
    if (record.excluded) {
        why = record.isSlow ? "runs tasks slowly" : "fails what it starts";
        why += "; probed every " + std::to_string(record.probeInterval.count()) + " ms";
        return endpoint_health::failing;
    }
    if (record.backoffUntil > now) {
        why = "refused a start";
        return endpoint_health::saturated;
    }
    return endpoint_health::healthy;
}

} // namespace

slot_table::slot_table(std::string_view strategy, std::uint64_t seed)
    : d(std::make_unique<detail::slot_table_private>(strategy, seed))
{
}

slot_table::~slot_table() = default;

void slot_table::join(const agent_info &info, std::uint32_t credits, std::chrono::milliseconds /*lease*/, mono_time now)
{
    d->applyDue(now);
    const std::size_t index = d->findOrAdd(info.id);
    d->disconnect(index);
    endpoint_record &record = d->endpoints[index];
    record.info = info;
    d->speeds.invalidate();
    record.relativeFactor = d->speeds.relativeFactor(record);
    record.speedClass = d->strategy->usesSpeed() ? speedClass(record.relativeFactor, UsualSpeedClass) : UsualSpeedClass;
    record.pool = d->poolIndex(record);
    record.credits = static_cast<std::int32_t>(credits);
    record.connected = !info.leaving;
    if (!record.connected) {
        return;
    }
    d->countSlots(record, true);
    if (record.excluded) {
        d->schedule(index, std::max(now, record.nextProbe));
    }
    d->refresh(index, now);
    if (d->isIsolated && !d->lanes.contains(info.address)) {
        d->assignLanes(now);
    }
    if (d->isSeparated && !d->groups.contains(info.address)) {
        d->assignGroups(now);
    }
}

void slot_table::leave(const agent_id &agent)
{
    const auto found = d->agents.find(agent);
    if (found != d->agents.end() && d->endpoints[found->second].connected) {
        d->disconnect(found->second);
        d->lostAgents.push_back(agent);
        d->dropLost();
    }
}

void slot_table::addCredits(const agent_id &agent, std::int32_t delta)
{
    const auto found = d->agents.find(agent);
    if (found != d->agents.end() && d->endpoints[found->second].connected) {
        d->endpoints[found->second].credits += delta;
        d->refresh(found->second, d->latestTime);
    }
}

bool slot_table::isPlaceable(std::string_view kind, mono_time now, bool highPriority, placement_lane lane)
{
    d->applyDue(now);
    const auto found = d->kindNames.find(kind);
    if (found == d->kindNames.end()) {
        return false;
    }
    const auto &pools = d->kinds[found->second].pools;
    const std::uint32_t reserved = highPriority ? 0 : d->strategy->reservedLevels();
    return std::any_of(pools.begin(),
                       pools.end(),
                       [this, reserved, lane](std::size_t pool) {
                           return d->isInLane(pool, lane) && d->pools[pool].highest() > reserved;
                       })
        || d->findProbe(found->second, lane) < d->probes.size();
}

std::optional<agent_id>
slot_table::acquire(std::string_view kind, mono_time now, bool highPriority, placement_lane lane, double maxFactor, std::optional<placement_group> group)
{
    d->applyDue(now);
    const auto found = d->kindNames.find(kind);
    if (found == d->kindNames.end()) {
        return std::nullopt;
    }
    std::size_t index = 0;
    const std::size_t probe = d->findProbe(found->second, lane);
    if (probe < d->probes.size()) {
        index = d->probes[probe];
        d->probes.erase(d->probes.begin() + static_cast<std::ptrdiff_t>(probe));
        d->endpoints[index].probeDue = false;
        d->endpoints[index].probing = true;
    } else {
        d->candidates.clear();
        for (const std::size_t pool : d->kinds[found->second].pools) {
            if (d->isInLane(pool, lane) && d->pools[pool].highest() > (highPriority ? 0 : d->strategy->reservedLevels())) {
                d->candidates.push_back(&d->pools[pool]);
            }
        }
        if (d->candidates.empty()) {
            return std::nullopt;
        }
        d->strategy->narrow(d->candidates, maxFactor);
        if (group && d->isSeparated) {
            d->preferGroup(*group);
        }
        index = d->strategy->choose(d->candidates, d->random, d->loadProbe);
    }
    endpoint_record &record = d->endpoints[index];
    --record.credits;
    ++record.outstanding;
    d->refresh(index, now);
    return record.info.id;
}

void slot_table::release(const agent_id &agent, std::string_view kind, const task_outcome &outcome, std::int32_t credits, mono_time now)
{
    d->applyDue(now);
    const auto found = d->agents.find(agent);
    if (found == d->agents.end()) {
        return;
    }
    endpoint_record &record = d->endpoints[found->second];
    record.outstanding -= std::min<std::uint32_t>(record.outstanding, 1);
    record.credits += record.connected ? credits : 0;
    const std::size_t kindIndex = d->kindIndex(kind);
    d->health.record(record, kindIndex, d->kinds[kindIndex], outcome, now, d->strategy->usesSpeed() ? d->speeds.usualFactor(record) : 1);
    if (!record.excluded && health_monitor::isSlow(record) && d->canExcludeSlow()) {
        health_monitor::excludeSlow(record, now);
    }
    if (record.excluded && !record.probing && !record.probeDue) {
        d->schedule(found->second, record.nextProbe);
    }
    if (record.backoffUntil > now) {
        d->schedule(found->second, record.backoffUntil);
    }
    d->refresh(found->second, now);
}

void slot_table::setRunTimeFactor(const agent_id &agent, double factor)
{
    endpoint_record *record = d->find(agent);
    if (record != nullptr && record->connected && factor > 0 && factor != record->info.runTimeFactor) {
        record->info.runTimeFactor = factor;
        d->speeds.invalidate();
    }
}

double slot_table::forecastFactor(const agent_id &agent) const
{
    const endpoint_record *record = d->find(agent);
    return record == nullptr ? 1 : d->speeds.forecastFactor(*record);
}

std::vector<speed_change> slot_table::takeSpeedChanges()
{
    return std::exchange(d->speedChanges, {});
}

std::size_t slot_table::slots(std::string_view kind) const
{
    const auto found = d->kindNames.find(kind);
    if (found == d->kindNames.end()) {
        return 0;
    }
    const auto &slots = d->kinds[found->second].slots;
    return std::accumulate(slots.begin(), slots.end(), std::size_t{0});
}

std::size_t slot_table::slots(std::string_view kind, placement_lane lane) const
{
    const auto found = d->kindNames.find(kind);
    return found == d->kindNames.end() ? 0 : d->kinds[found->second].slots.at(static_cast<std::size_t>(lane));
}

void slot_table::setIsolated(bool isolated, mono_time now)
{
    if (d->isIsolated != isolated) {
        d->applyDue(now);
        d->isIsolated = isolated;
        d->assignLanes(now);
    }
}

void slot_table::setEvacuated(const std::set<std::string> &domains, mono_time now)
{
    d->applyDue(now);
    d->setEvacuated(domains, now);
}

std::size_t slot_table::endpointsIn(std::string_view domain) const
{
    return static_cast<std::size_t>(std::ranges::count_if(d->endpoints, [domain](const endpoint_record &record) {
        return record.connected && record.info.failureDomain == domain;
    }));
}

void slot_table::setSeparated(bool separated, mono_time now)
{
    if (d->isSeparated != separated) {
        d->applyDue(now);
        d->isSeparated = separated;
        d->assignGroups(now);
    }
}

separation_status slot_table::separation() const
{
    return d->separation;
}

bool slot_table::hasSuspectLane() const
{
    return std::ranges::any_of(d->lanes, [](const auto &item) {
        return item.second == placement_lane::suspect;
    });
}

std::vector<agent_id> slot_table::agents() const
{
    std::vector<agent_id> found;
    for (const endpoint_record &record : d->endpoints) {
        if (record.connected) {
            found.push_back(record.info.id);
        }
    }
    return found;
}

mono_time slot_table::nextDue() const
{
    return d->due.empty() ? mono_time::max() : d->due.top().first;
}

std::vector<endpoint_status> slot_table::status() const
{
    std::vector<endpoint_status> found;
    for (const auto &[agent, index] : d->agents) {
        const endpoint_record &record = d->endpoints[index];
        endpoint_status item;
        item.info = record.info;
        item.health = healthOf(record, d->isEvacuated(record.info), d->latestTime, item.why);
        item.credits = static_cast<std::uint32_t>(std::max(0, record.credits));
        item.outstanding = record.outstanding;
        item.relativeFactor = record.relativeFactor;
        item.speedClass = record.speedClass;
        found.push_back(std::move(item));
    }
    return found;
}

void slot_table::setLoadProbe(std::function<std::uint32_t(const agent_id &)> probe)
{
    d->loadProbe = [this, queryLoad = std::move(probe)](std::size_t index) {
        return queryLoad(d->endpoints[index].info.id);
    };
}

} // namespace teaselward
