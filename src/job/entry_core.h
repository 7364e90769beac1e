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
 * All decisions of an entry. It owns the jobs of the tickets that this incarnation issued, the queue and the view of the
 * endpoints. It knows no socket, no codec and no clock; one thread calls it.
 */
class entry_core
{
public:
    /**
     * Creates the state of a new incarnation.
     * @param settings what the entry is told at start
     * @param start present time; tickets state their issue time relative to it
     * @param log receiver of the log lines; it must outlive the core
     */
    entry_core(const entry_core_settings &settings, mono_time start, logger &log);
    ~entry_core();

    entry_core(const entry_core &) = delete;
    entry_core &operator=(const entry_core &) = delete;

    /**
     * Applies an event.
     * @param event what happened
     * @param now present time; never less than in an earlier call
     * @param actions what the adapters are to do is appended here
     */
    void handle(const entry_event &event, mono_time now, std::vector<entry_action> &actions);

    /** @return instant at which the core wants a timer_fired event */
    mono_time nextDue() const;

private:
    std::unique_ptr<detail::entry_core_private> d;
};

} // namespace teaselward
