#pragma once

#include "base/clock.h"
#include "core/entry_id.h"
#include "core/rule_set.h"
#include "core/team_usage.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

/** Use of the team quotas, which apply to all entries together, and this entry's share of them. */
class quota_ledger
{
public:
    /** Replaces the rules; tasks in progress stay counted. */
    void setRules(const rule_set &rules);

    /** Sets the number of entries that share the quotas, including this one. */
    void setEntryCount(std::size_t entries);

    /**
     * Checks whether a team may have more tasks in progress; if not, the demand is recorded for the next report.
     * @param team the team
     * @param tasks number of further tasks
     * @param now current time
     */
    bool admits(std::string_view team, std::uint32_t tasks, mono_time now);

    /** Adds admitted tasks to the use of a team, or removes ended ones if negative. */
    void add(std::string_view team, std::int64_t tasks);

    /** @return use and demand of every team that has a quota, for the report to the other entries */
    std::vector<team_usage> takeUsage();

    /** Records the use that another entry reported. */
    void setPeerUsage(const entry_id &peer, std::vector<team_usage> usage, mono_time now);

    /**
     * Computes this entry's share of the quota of a team.
     * @param team the team
     * @param now current time
     * @return number of tasks in progress that are allowed at this entry
     */
    std::uint32_t localQuota(std::string_view team, mono_time now) const;

private:
    /** Use of one team at this entry. */
    struct account {
        std::uint32_t quota = 0;
        std::uint32_t inProgress = 0;
        std::uint32_t refused = 0; ///< Tasks refused by quota since the last report.
        std::uint32_t reported = 0; ///< Demand in the last report.
    };

    /** Last report of another entry. */
    struct report {
        entry_id peer;
        mono_time at{};
        std::map<std::string, std::uint32_t, std::less<>> wanted;
    };

    std::map<std::string, account, std::less<>> m_accounts;
    std::vector<report> m_reports;
    std::size_t m_entries = 1;
};

} // namespace teaselward
