#pragma once

#include "base/bounded_ring.h"
#include "config/config_model.h"
#include "config/config_state.h"
#include "config/wall_clock.h"
#include "core/rule_set.h"
#include "job/entry_event.h"
#include "log/logger.h"

#include <memory>
#include <optional>

namespace teaselward
{

/**
 * Turns the folded files and the present local time into rules, and brings them into force at the decision thread whenever
 * they change. The offsets of what it sends never go down.
 */
class rule_publisher
{
public:
    /**
     * Creates a publisher without rules.
     * @param events ring of the decision thread
     * @param clock wall clock
     * @param log receiver of the log lines
     */
    rule_publisher(bounded_ring<entry_event> &events, const wall_clock &clock, logger &log);

    /**
     * Takes over changed files.
     * @param state the folded state
     */
    void setFiles(const config_state &state);

    /** Evaluates the rules if a boundary of local time has passed or the wall clock was set, and sends what is unsent. */
    void evaluate();

    /** @return whether rules wait for room in the ring */
    bool hasUnsent() const;

    /** @return time until the next boundary of local time, or nothing if there is none */
    std::optional<std::chrono::milliseconds> timeToBoundary() const;

private:
    void send();

    bounded_ring<entry_event> &m_events;
    const wall_clock &m_clock;
    logger &m_log;
    bool m_hasFiles = false;
    bool m_isChanged = false; // The files have changed since the last evaluation.
    std::uint64_t m_offset = 0;
    config_model m_model;
    wall_time m_lastEvaluation{};
    std::optional<wall_time> m_boundary;
    std::shared_ptr<const rule_set> m_current;
    std::shared_ptr<const rule_set> m_unsent;
};

} // namespace teaselward
