#pragma once

#include "core/kind_rule.h"
#include "share/fair_order.h"
#include "share/kind_breaker.h"
#include "share/run_time_estimate.h"
#include "share/service_estimate.h"
#include "share/team_queue.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace teaselward
{

/** Waiting tasks of one kind, divided among the teams. */
class kind_queue
{
public:
    std::string name;
    kind_rule rule;
    double share = 0; ///< Part of the slots that the kind gets at least while it has work.
    std::uint32_t queued = 0;
    std::uint32_t started = 0;
    double activeWeight = 0; ///< Sum of the weights of the teams that have tasks in progress.
    run_time_estimate runTime;
    service_estimate service;
    kind_breaker failing;
    fair_order order; ///< Of the teams.
    std::deque<team_queue> teams; ///< By their number in the order.

    /**
     * Finds or adds a team.
     * @param team its name
     * @param weight its weight if it is added
     * @return its number
     */
    std::size_t teamIndex(std::string_view team, double weight);

    /** @return number of a team, or the number of teams if there is no such team */
    std::size_t findTeam(std::string_view team) const;

    /** Changes the number of tasks in progress of a team. */
    void addInProgress(std::size_t team, std::int64_t tasks);

    /** Changes the weight of a team. */
    void setTeamWeight(std::size_t team, double weight);

    /**
     * Room of a team in the queue. Teams that have tasks in progress divide the limit by weight, and a team below its part
     * may go above the limit of the kind, so that a flooding team takes no room of others.
     * @param team its number
     * @return tasks that it may have queued
     */
    double room(std::size_t team) const;

private:
    void dropUnused();

    std::map<std::string, std::size_t, std::less<>> m_names;
};

} // namespace teaselward
