#include "place/interference_table.h"

#include <algorithm>

namespace teaselward
{

namespace
{

// Endpoints at which both kinds run find the pair within minutes. A false alarm is seen at one endpoint, and three at the same time for
// the same pair have a common cause.
constexpr std::size_t MinAgents = 3;
constexpr std::size_t ConnectedPerAgent = 10;

// A pair in force needs fewer agents: the separation leaves few runs that show it, so its reports expire at different times.
constexpr std::size_t MinRemainingAgents = 2;
constexpr std::size_t ConnectedPerRemainingAgent = 20;

// Bounds the memory: 3,200 agents with 8 pairs of two names of 40 bytes need 4 MB.
constexpr std::size_t MaxPairsPerAgent = 8;

} // namespace

void interference_table::report(const agent_id &agent, std::vector<kind_pair> pairs)
{
    for (auto item = m_reports.begin(); item != m_reports.end();) {
        item->second.erase(agent);
        item = item->second.empty() ? m_reports.erase(item) : std::next(item);
    }
    std::ranges::stable_sort(pairs, std::greater<>(), &kind_pair::factor);
    pairs.resize(std::min(pairs.size(), MaxPairsPerAgent));
    for (kind_pair &one : pairs) {
        m_reports[{std::move(one.slowed), std::move(one.slowing)}][agent] = one.factor;
    }
}

std::vector<interference_table::change> interference_table::update(std::size_t connected)
{
    const std::size_t required = std::max(MinAgents, (connected + ConnectedPerAgent - 1) / ConnectedPerAgent);
    const std::size_t remaining = std::max(MinRemainingAgents, connected / ConnectedPerRemainingAgent);
    std::vector<change> changes;
    std::erase_if(m_accepted, [this, remaining, &changes](const kind_names &names) {
        const auto found = m_reports.find(names);
        const std::size_t agents = found == m_reports.end() ? 0 : found->second.size();
        if (agents >= remaining) {
            return false;
        }
        changes.push_back({.slowed = names.first, .slowing = names.second, .agents = agents});
        return true;
    });
    for (const auto &[names, factors] : m_reports) {
        if (factors.size() < required || !m_accepted.insert(names).second) {
            continue;
        }
        double sum = 0;
        for (const auto &[agent, factor] : factors) {
            sum += factor;
        }
        changes.push_back({.slowed = names.first,
                           .slowing = names.second,
                           .factor = sum / static_cast<double>(factors.size()),
                           .agents = factors.size(),
                           .isAccepted = true});
    }
    if (!changes.empty()) {
        assignGroups();
    }
    return changes;
}

// Gives the two kinds of each pair different groups, in the order of their names, so that every entry with the same pairs assigns the same
// groups. Of three kinds that all slow each other, two share a group.
void interference_table::assignGroups()
{
    m_groups.clear();
    const auto opposite = [](placement_group group) {
        return group == placement_group::first ? placement_group::second : placement_group::first;
    };
    std::set<kind_names> left = m_accepted;
    while (!left.empty()) {
        // A pair with a kind that has a group already comes first; otherwise both kinds would get one independent of the others.
        auto next = std::ranges::find_if(left, [this](const kind_names &names) {
            return m_groups.contains(names.first) || m_groups.contains(names.second);
        });
        next = next == left.end() ? left.begin() : next;
        const auto &[slowed, slowing] = *next;
        if (const auto found = m_groups.find(slowing); found != m_groups.end()) {
            m_groups.try_emplace(slowed, opposite(found->second));
        } else {
            const placement_group group = m_groups.try_emplace(slowed, placement_group::first).first->second;
            m_groups.try_emplace(slowing, opposite(group));
        }
        left.erase(next);
    }
}

std::optional<placement_group> interference_table::groupOf(std::string_view kind) const
{
    const auto found = m_groups.find(kind);
    return found == m_groups.end() ? std::nullopt : std::optional(found->second);
}

std::size_t interference_table::pairs() const
{
    return m_accepted.size();
}

} // namespace teaselward
