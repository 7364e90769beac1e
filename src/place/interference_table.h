#pragma once

#include "core/agent_id.h"
#include "core/kind_pair.h"
#include "place/placement_group.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace teaselward
{

/**
 * Pairs of kinds that agents report as slowing each other. A pair comes into force once at least three agents and a tenth of the
 * connected ones report it, so that a single false alarm changes nothing, and is dropped when fewer than two or a twentieth are left. The
 * kinds of the pairs in force prefer one of two groups of endpoints each. At most 8 pairs of an agent are kept.
 */
class interference_table
{
public:
    /** Change of the pairs in force. */
    struct change {
        std::string slowed;
        std::string slowing;
        double factor = 1; ///< Mean factor of the reports; 1 if there is none left.
        std::size_t agents = 0; ///< Agents that report the pair.
        bool isAccepted = false; ///< Came into force; otherwise dropped.
    };

    /**
     * Replaces the report of an agent; a report without pairs ends it.
     * @param agent the agent
     * @param pairs all pairs that it reports
     */
    void report(const agent_id &agent, std::vector<kind_pair> pairs);

    /**
     * Accepts and drops pairs.
     * @param connected number of connected agents
     * @return the changes
     */
    std::vector<change> update(std::size_t connected);

    /**
     * Finds the group that a kind prefers.
     * @param kind the kind
     * @return its group; empty if it is in no pair in force
     */
    std::optional<placement_group> groupOf(std::string_view kind) const;

    /** @return number of pairs in force */
    std::size_t pairs() const;

private:
    using kind_names = std::pair<std::string, std::string>; ///< Slowed and slowing kind.

    void assignGroups();

    std::map<kind_names, std::map<agent_id, double>> m_reports; ///< Factors by pair and agent.
    std::set<kind_names> m_accepted;
    std::map<std::string, placement_group, std::less<>> m_groups; ///< Kinds of the pairs in force.
};

} // namespace teaselward
