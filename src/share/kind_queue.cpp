#include "share/kind_queue.h"

#include <algorithm>

namespace teaselward
{

namespace
{

constexpr std::size_t MaxTeams = 512; // Without rules for teams, callers choose the names, so idle teams must not accumulate.

} // namespace

std::size_t kind_queue::teamIndex(std::string_view team, double weight)
{
    const auto found = m_names.find(team);
    if (found != m_names.end()) {
        return found->second;
    }
    if (m_names.size() >= MaxTeams) {
        dropUnused();
    }
    const std::size_t index = order.add(weight);
    if (index == teams.size()) {
        teams.emplace_back();
    }
    teams[index] = team_queue{};
    teams[index].name = std::string(team);
    m_names.emplace(std::string(team), index);
    return index;
}

std::size_t kind_queue::findTeam(std::string_view team) const
{
    const auto found = m_names.find(team);
    return found == m_names.end() ? teams.size() : found->second;
}

void kind_queue::addInProgress(std::size_t team, std::int64_t tasks)
{
    team_queue &queue = teams[team];
    const bool before = queue.inProgress > 0;
    queue.inProgress = static_cast<std::uint32_t>(std::max<std::int64_t>(0, queue.inProgress + tasks));
    const bool after = queue.inProgress > 0;
    if (before != after) {
        activeWeight += after ? order.weight(team) : -order.weight(team);
    }
}

void kind_queue::setTeamWeight(std::size_t team, double weight)
{
    activeWeight += teams[team].inProgress > 0 ? weight - order.weight(team) : 0;
    order.setWeight(team, weight);
}

double kind_queue::teamLimit(std::size_t team) const
{
    const double weight = order.weight(team);
    const double others = std::max(0.0, activeWeight - (teams[team].inProgress > 0 ? weight : 0));
    return rule.queueLimit * weight / (weight + others);
}

void kind_queue::dropUnused()
{
    for (auto name = m_names.begin(); name != m_names.end();) {
        const bool unused = teams[name->second].inProgress == 0;
        if (unused) {
            order.remove(name->second);
            teams[name->second] = team_queue{};
        }
        name = unused ? m_names.erase(name) : std::next(name);
    }
}

} // namespace teaselward
