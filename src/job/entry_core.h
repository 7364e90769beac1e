#pragma once

#include "base/clock.h"
#include "job/entry_action.h"
#include "job/entry_core_settings.h"
#include "job/entry_event.h"
#include "log/logger.h"

#include <memory>
#include <vector>

namespace teaselward
{

namespace detail
{
class entry_core_private;
}

/**
 * Decision logic of an entry. Owns the jobs whose tickets this incarnation issued, the task queue and the state of the
 * endpoints. Uses no sockets, codecs or clocks, and must be called from a single thread.
 */
class entry_core
{
public:
    /**
     * Creates the state of a new incarnation.
     * @param settings settings of the entry
     * @param start current time; issue times of tickets are relative to it
     * @param log receives the log lines; must outlive the core
     */
    entry_core(const entry_core_settings &settings, mono_time start, logger &log);
    ~entry_core();

    entry_core(const entry_core &) = delete;
    entry_core &operator=(const entry_core &) = delete;

    /**
     * Applies an event.
     * @param event the event
     * @param now current time; must not decrease between calls
     * @param actions receives the actions for the adapters, appended at the end
     */
    void handle(const entry_event &event, mono_time now, std::vector<entry_action> &actions);

    /** @return time at which the core needs a timer_fired event */
    mono_time nextDue() const;

private:
    std::unique_ptr<detail::entry_core_private> d;
};

} // namespace teaselward
