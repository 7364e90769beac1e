#include "chain/chain_simulation.h"
#include "core/concat.h"

#include <chrono>

// Faults of connections that the two sides see differently.

namespace teaselward
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::microseconds MinOutage = 100ms;
constexpr std::chrono::microseconds MaxOutage = 2500ms;

// Share of the one-sided resets whose other side gets no answer to its later messages.
constexpr double SilentResets = 0.5;

} // namespace

void chain_simulation::forSessionsOf(std::size_t node, const std::function<void(chain_session &session)> &action)
{
    for (auto &[ends, one] : m_sessions) {
        if (node < m_site.entries ? ends.first == node : ends.second == node - m_site.entries) {
            action(*one);
        }
    }
}

void chain_simulation::cutOneWay()
{
    const std::size_t node = anyNode();
    const bool isToAgent = m_random.chance(0.5);
    const auto length = m_random.between(MinOutage, MaxOutage);
    logEvent(concat("Cut of ", nameOf(node), isToAgent ? " from the entry to the agent" : " from the agent to the entry", " for ", length / 1ms, " ms"));
    forSessionsOf(node, [isToAgent, until = m_timeline.now() + length](chain_session &one) {
        isToAgent ? one.cutToAgent(until) : one.cutToEntry(until);
    });
}

// A firewall may refuse the messages of one side and drop those of the other.
void chain_simulation::resetOneSide()
{
    const std::size_t node = anyNode();
    const bool isAtEntry = m_random.chance(0.5);
    const auto silence = m_random.chance(SilentResets) ? m_random.between(MinOutage, MaxOutage) : 0us;
    logEvent(concat("Reset of ", nameOf(node), isAtEntry ? " seen by the entry" : " seen by the agent", ", silence ", silence / 1ms, " ms"));
    forSessionsOf(node, [isAtEntry, until = m_timeline.now() + silence](chain_session &one) {
        isAtEntry ? one.resetAtEntry() : one.resetAtAgent();
        one.cut(until);
    });
}

} // namespace teaselward
