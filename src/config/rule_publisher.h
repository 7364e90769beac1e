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
 * Computes the rules from the configuration files and the current local time, and sends them to the decision thread whenever
 * they change. The offsets of the rules sent never decrease.
 */
class rule_publisher
{
public:
    /**
     * Creates a publisher without rules.
     * @param events ring of the decision thread
     * @param clock wall clock
     * @param log logger
     */
    rule_publisher(bounded_ring<entry_event> &events, const wall_clock &clock, logger &log);

    /**
     * Sets the files after a change.
     * @param state the current state
     */
    void setFiles(const config_state &state);

    /** Re-evaluates the rules if files changed, a boundary of local time passed or the wall clock was set back; sends unsent rules. */
    void evaluate();

    /** @return whether rules could not be sent yet because the ring is full */
    bool hasUnsent() const;

    /** @return time until the next boundary of local time, or nothing if there is none */
    std::optional<std::chrono::milliseconds> timeToBoundary() const;

private:
    void send();

    bounded_ring<entry_event> &m_events;
    const wall_clock &m_clock;
    logger &m_log;
    bool m_hasFiles = false;
    bool m_isChanged = false; // Files have changed since the last evaluation.
    std::uint64_t m_offset = 0;
    config_model m_model;
    wall_time m_lastEvaluation{};
    std::optional<wall_time> m_boundary;
    std::shared_ptr<const rule_set> m_current;
    std::shared_ptr<const rule_set> m_unsent;
};

} // namespace teaselward
