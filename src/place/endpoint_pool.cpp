#include "place/endpoint_pool.h"

#include <algorithm>

namespace teaselward
{

// Removes an endpoint by moving the last one of its level into the gap, so that no other position changes.
void endpoint_pool::setLevel(std::deque<endpoint_record> &records, std::size_t index, std::uint32_t level)
{
    endpoint_record &record = records[index];
    level = std::min(level, MaxLevel);
    if (record.level == level) {
        return;
    }
    if (record.level > 0) {
        auto &members = m_levels[record.level];
        members[record.position] = members.back();
        records[members[record.position]].position = record.position;
        members.pop_back();
    }
    record.level = level;
    if (level > 0) {
        record.position = m_levels[level].size();
        m_levels[level].push_back(index);
    }
    m_highest = std::max(m_highest, level);
    while (m_highest > 0 && m_levels[m_highest].empty()) {
        --m_highest;
    }
}

} // namespace teaselward
