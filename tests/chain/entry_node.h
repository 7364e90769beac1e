#pragma once

#include "chain/entry_node_links.h"
#include "chain/seeded_random.h"
#include "chain/simulated_front_end.h"
#include "chain/simulated_process.h"
#include "chain/virtual_timeline.h"
#include "core/entry_info.h"
#include "core/rule_set.h"
#include "job/entry_core.h"
#include "log/logger.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace teaselward
{

/** Entry with the real entry_core on a simulated thread. */
class entry_node
{
public:
    /**
     * Starts the entry.
     * @param position position of the entry
     * @param timeline time of the simulation; must outlive the entry
     * @param random decisions of the simulation; must outlive the entry
     * @param rules rules of the kinds
     * @param links connections to the agents and the callers
     * @param log log of decisions; must outlive the entry
     */
    entry_node(
        std::size_t position, virtual_timeline &timeline, seeded_random &random, std::shared_ptr<const rule_set> rules, entry_node_links links, logger &log);

    /**
     * Passes an event to the decisions.
     * @param event the event
     */
    void handle(const entry_event &event);

    /** Kills the process. */
    void kill();

    /** Starts the process again as a new incarnation. */
    void restart();

    /** @return the process */
    simulated_process &process();

    /** @return the front end */
    simulated_front_end &frontEnd();

    /** @return properties of the entry */
    const entry_info &info() const;

private:
    void start();
    void decide(const entry_event &event);
    void perform(const entry_action &action);
    void send(const entry_action &action);
    void armTimer();

    virtual_timeline &m_timeline;
    std::shared_ptr<const rule_set> m_rules;
    entry_node_links m_links;
    logger &m_log;
    simulated_process m_process;
    simulated_front_end m_frontEnd;
    entry_info m_info;
    std::unique_ptr<entry_core> m_core;
    mono_time m_wake = mono_time::max();
};

} // namespace teaselward
