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

/** Queue of one kind, divided among the teams. */
class kind_queue
{
public:
    std::string name;
    kind_rule rule;
    double share = 0; ///< Minimum share of the slots while the kind has work.
    std::uint32_t queued = 0;
    std::uint32_t started = 0;
    double activeWeight = 0; ///< Total weight of the teams that have tasks in progress.
    run_time_estimate runTime;
    service_estimate service;
    kind_breaker breaker;
    fair_order order; ///< Order of the teams.
    std::deque<team_queue> teams; ///< Indexed like the order.

    /**
     * Finds or adds a team.
     * @param team name of the team
     * @param weight weight of the team if it is added
     * @return its index
     */
    std::size_t teamIndex(std::string_view team, double weight);

    /** @return index of a team; the number of teams if there is no such team */
    std::size_t findTeam(std::string_view team) const;

    /** Changes the number of tasks in progress of a team. */
    void addInProgress(std::size_t team, std::int64_t tasks);

    /** Changes the weight of a team. */
    void setTeamWeight(std::size_t team, double weight);

    /**
     * Computes the queue limit of a team. The teams that have tasks in progress divide the limit of the kind by weight. A team
     * below its share may be admitted beyond the limit of the kind, so that a flooding team takes no queue space from others.
     * @param team index of the team
     * @return number of tasks that the team may have queued
     */
    double teamLimit(std::size_t team) const;

private:
    void dropUnused();

    std::map<std::string, std::size_t, std::less<>> m_names;
};

} // namespace teaselward
