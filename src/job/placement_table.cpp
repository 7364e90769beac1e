#include "job/placement_table.h"

#include <algorithm>
#include <utility>

namespace teaselward
{

void placement_table::add(placement added)
{
    m_byAgent[added.agent].insert(added.task.id);
    const task_id id = added.task.id;
    m_placements.insert_or_assign(id, std::move(added));
}

placement *placement_table::find(const task_id &id)
{
    const auto found = m_placements.find(id);
    return found == m_placements.end() ? nullptr : &found->second;
}

placement placement_table::take(const task_id &id)
{
    const auto found = m_placements.find(id);
    placement taken = std::move(found->second);
    m_placements.erase(found);
    const auto agent = m_byAgent.find(taken.agent);
    agent->second.erase(id);
    if (agent->second.empty()) {
        m_byAgent.erase(agent);
    }
    return taken;
}

std::vector<task_id> placement_table::tasksAt(const agent_id &agent) const
{
    const auto found = m_byAgent.find(agent);
    return found == m_byAgent.end() ? std::vector<task_id>() : std::vector<task_id>(found->second.begin(), found->second.end());
}

std::vector<task_id> placement_table::tasks() const
{
    std::vector<task_id> all;
    all.reserve(m_placements.size());
    for (const auto &[id, one] : m_placements) {
        all.push_back(id);
    }
    std::ranges::sort(all);
    return all;
}

std::size_t placement_table::size() const
{
    return m_placements.size();
}

} // namespace teaselward
