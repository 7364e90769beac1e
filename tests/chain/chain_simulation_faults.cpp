#include "chain/chain_simulation.h"

#include <vector>

namespace teaselward
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::microseconds MinOutage = 100ms;
constexpr std::chrono::microseconds MaxOutage = 2500ms;

} // namespace

void chain_simulation::injectFaults()
{
    using simulation = chain_simulation;
    static constexpr std::array<fault, 9> faults = {
        &simulation::killEntry,
        &simulation::cutPowerOfEntry,
        &simulation::freezeEntry,
        &simulation::cutOffEntry,
        &simulation::killAgent,
        &simulation::freezeAgent,
        &simulation::cutOffAgent,
        &simulation::resetCallers,
        &simulation::resetSessions,
    };
    if (m_isOver || m_faults.perSecond <= 0) {
        return;
    }
    const auto mean = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(1 / m_faults.perSecond));
    m_timeline.after(m_random.between(0us, 2 * mean), [this] {
        (this->*faults.at(m_random.below(faults.size())))();
        injectFaults();
    });
}

void chain_simulation::killEntry()
{
    loseEntry(m_random.below(m_site.entries), true);
}

// The callers see broken connections at once, as after a kill; the agents see nothing.
void chain_simulation::cutPowerOfEntry()
{
    loseEntry(m_random.below(m_site.entries), false);
}

void chain_simulation::loseEntry(std::size_t entry, bool isReset)
{
    if (!m_entries[entry]->process().isAlive()) {
        return;
    }
    for (std::size_t agent = 0; agent < m_site.agents; ++agent) {
        session(entry, agent).processKilled(true, isReset);
    }
    m_entries[entry]->kill();
    for (std::size_t job = 0; job < m_jobs.size(); ++job) {
        if (m_jobs[job].open != 0 && m_jobs[job].entry == entry) {
            breakConnection(job, false);
        }
    }
    m_timeline.after(m_random.between(MinOutage, MaxOutage), [this, entry] {
        m_entries[entry]->restart();
    });
}

void chain_simulation::freezeEntry()
{
    m_entries[m_random.below(m_site.entries)]->process().freeze(m_random.between(MinOutage, MaxOutage));
}

void chain_simulation::cutOffEntry()
{
    const std::size_t entry = m_random.below(m_site.entries);
    const mono_time until = m_timeline.now() + m_random.between(MinOutage, MaxOutage);
    for (std::size_t agent = 0; agent < m_site.agents; ++agent) {
        session(entry, agent).cut(until);
    }
}

void chain_simulation::killAgent()
{
    const std::size_t agent = m_random.below(m_site.agents);
    if (!m_agents[agent]->process().isAlive()) {
        return;
    }
    for (std::size_t entry = 0; entry < m_site.entries; ++entry) {
        session(entry, agent).processKilled(false, m_random.chance(0.5));
    }
    m_agents[agent]->kill();
    m_timeline.after(m_random.between(MinOutage, MaxOutage), [this, agent] {
        m_agents[agent]->restart();
    });
}

void chain_simulation::freezeAgent()
{
    m_agents[m_random.below(m_site.agents)]->process().freeze(m_random.between(MinOutage, MaxOutage));
}

void chain_simulation::cutOffAgent()
{
    const std::size_t agent = m_random.below(m_site.agents);
    const mono_time until = m_timeline.now() + m_random.between(MinOutage, MaxOutage);
    for (std::size_t entry = 0; entry < m_site.entries; ++entry) {
        session(entry, agent).cut(until);
    }
}

// Breaks the connections of about half of the callers.
void chain_simulation::resetCallers()
{
    for (std::size_t job = 0; job < m_jobs.size(); ++job) {
        if (m_jobs[job].open != 0 && m_random.chance(0.5)) {
            breakConnection(job, true);
        }
    }
}

void chain_simulation::resetSessions()
{
    const std::size_t entry = m_random.below(m_site.entries);
    for (std::size_t agent = 0; agent < m_site.agents; ++agent) {
        session(entry, agent).reset();
    }
}

} // namespace teaselward
