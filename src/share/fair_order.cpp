#include "share/fair_order.h"

#include <algorithm>

namespace teaselward
{

fair_order::fair_order(double allowance)
    : m_allowance(allowance)
{
}

std::size_t fair_order::add(double weight)
{
    if (m_freeIndexes.empty()) {
        m_members.emplace_back();
    }
    const std::size_t member = m_freeIndexes.empty() ? m_members.size() - 1 : m_freeIndexes.back();
    if (!m_freeIndexes.empty()) {
        m_freeIndexes.pop_back();
    }
    m_members[member] = {weight, m_virtualTime, false};
    return member;
}

void fair_order::remove(std::size_t member)
{
    setActive(member, false);
    m_freeIndexes.push_back(member);
}

void fair_order::setWeight(std::size_t member, double weight)
{
    m_members[member].weight = weight;
}

double fair_order::weight(std::size_t member) const
{
    return m_members[member].weight;
}

void fair_order::setActive(std::size_t member, bool active)
{
    state &item = m_members[member];
    if (item.active == active) {
        return;
    }
    item.active = active;
    if (active) {
        item.tag = std::max(item.tag, m_virtualTime - m_allowance);
        m_active.emplace(item.tag, member);
    } else {
        m_active.erase({item.tag, member});
    }
}

void fair_order::charge(std::size_t member, double work)
{
    state &item = m_members[member];
    m_virtualTime = std::max(m_virtualTime, item.tag);
    move(member, item.tag + work / item.weight);
}

void fair_order::correct(std::size_t member, double work)
{
    move(member, m_members[member].tag + work / m_members[member].weight);
}

void fair_order::move(std::size_t member, double tag)
{
    state &item = m_members[member];
    if (item.active) {
        m_active.erase({item.tag, member});
        m_active.emplace(tag, member);
    }
    item.tag = tag;
}

} // namespace teaselward
