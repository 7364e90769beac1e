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

/** This entry's part of the team quotas, which hold over all entries. */
class quota_ledger
{
public:
    /** Replaces the rules; tasks in progress stay counted. */
    void setRules(const rule_set &rules);

    /** Sets the number of entries that share the quotas, this one included. */
    void setEntryCount(std::size_t entries);

    /**
     * Decides whether a team may have more tasks in progress, and records the wish if not.
     * @param team the team
     * @param tasks number of further tasks
     * @param now present time
     */
    bool admits(std::string_view team, std::uint32_t tasks, mono_time now);

    /** Counts tasks that are admitted, or that ended if negative. */
    void add(std::string_view team, std::int64_t tasks);

    /** @return use of every team that has a quota, for the other entries */
    std::vector<team_usage> takeUsage();

    /** Records the use that another entry reported. */
    void setPeerUsage(const entry_id &peer, std::vector<team_usage> usage, mono_time now);

    /**
     * Computes this entry's part of a team's quota.
     * @param team the team
     * @param now present time
     * @return tasks in progress that are allowed here
     */
    std::uint32_t part(std::string_view team, mono_time now) const;

private:
    /** Use of one team at this entry. */
    struct account {
        std::uint32_t quota = 0;
        std::uint32_t inProgress = 0;
        std::uint32_t refused = 0; ///< By quota, since the last report.
        std::uint32_t reported = 0; ///< Wanted tasks of the last report.
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
