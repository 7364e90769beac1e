#include "config/recent_ids.h"

#include "config/config_limits.h"

namespace teaselward
{

bool recent_ids::add(const std::string &id)
{
    if (!m_known.insert(id).second) {
        return false;
    }
    m_order.push_back(id);
    if (m_order.size() > RecentIdLimit) {
        m_known.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

std::vector<std::string> recent_ids::list() const
{
    return {m_order.begin(), m_order.end()};
}

} // namespace teaselward
