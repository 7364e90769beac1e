#include "job/agent_directory.h"

#include <tuple>
#include <utility>

namespace teaselward
{

namespace
{

// Returns whether an incarnation has taken the place of another. An endpoint instance accepts only rising tokens, so the token tells the
// order of the incarnations that served it; messages on different connections can arrive in another order. Between incarnations without a
// token the order of arrival must do; one without a token does not follow one that has one, since it may be of an older build and late.
bool isSuccessor(const agent_info &info, const agent_info &known)
{
    if (known.fencingToken == 0) {
        return true;
    }
    return std::tie(info.endpointStart, info.fencingToken) > std::tie(known.endpointStart, known.fencingToken);
}

} // namespace

std::optional<agent_id> agent_directory::join(const agent_info &info)
{
    if (!info.leaving && m_positions.try_emplace(info.id, m_connected.size()).second) {
        m_connected.push_back(info.id);
    }
    const auto [found, isNew] = m_byAddress.try_emplace(info.address, info);
    if (isNew || found->second.id == info.id || !isSuccessor(info, found->second)) {
        return std::nullopt;
    }
    return std::exchange(found->second, info).id;
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
