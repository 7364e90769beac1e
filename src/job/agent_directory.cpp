#include "job/agent_directory.h"

namespace teaselward
{

std::optional<agent_id> agent_directory::join(const agent_info &info)
{
    if (!info.leaving && m_positions.try_emplace(info.id, m_connected.size()).second) {
        m_connected.push_back(info.id);
    }
    const auto [found, isNew] = m_byAddress.try_emplace(info.address, info.id);
    if (isNew || found->second == info.id) {
        return std::nullopt;
    }
    const agent_id former = found->second;
    found->second = info.id;
    return former;
}

// Swaps with the last agent and pops, so that removal takes constant time.
void agent_directory::leave(const agent_id &agent)
{
    const auto found = m_positions.find(agent);
    if (found == m_positions.end()) {
        return;
    }
    const std::size_t position = found->second;
    m_connected[position] = m_connected.back();
    m_positions[m_connected[position]] = position;
    m_connected.pop_back();
    m_positions.erase(agent);
}

std::optional<agent_id> agent_directory::nextConnected()
{
    if (m_connected.empty()) {
        return std::nullopt;
    }
    m_next = (m_next + 1) % m_connected.size();
    return m_connected[m_next];
}

} // namespace teaselward
