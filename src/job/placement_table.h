#pragma once

#include "core/agent_id.h"
#include "core/task_id.h"
#include "job/placement.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/node_hash_map.h>

#include <cstddef>
#include <set>
#include <vector>

namespace teaselward
{

/** Placements of an entry, indexed by task and by agent. */
class placement_table
{
public:
    /**
     * Adds a placement.
     * @param added the placement; its task must not have another one
     */
    void add(placement added);

    /**
     * Finds the placement of a task.
     * @param id the task
     * @return the placement, valid until take(), or null
     */
    placement *find(const task_id &id);

    /**
     * Removes the placement of a task.
     * @param id the task, which must have one
     * @return the placement
     */
    placement take(const task_id &id);

    /**
     * Lists the tasks placed at one agent.
     * @param agent the agent
     */
    std::vector<task_id> tasksAt(const agent_id &agent) const;

    /** @return all placed tasks */
    std::vector<task_id> tasks() const;

    /** @return number of placements */
    std::size_t size() const;

private:
    absl::node_hash_map<task_id, placement> m_placements;
    absl::flat_hash_map<agent_id, std::set<task_id>> m_byAgent; ///< Ordered, so that a seed replays exactly.
};

} // namespace teaselward
