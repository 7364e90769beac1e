#pragma once

#include "base/bounded_ring.h"
#include "config/route_source.h"
#include "core/evacuation_state.h"
#include "job/entry_event.h"
#include "log/logger.h"

#include <set>
#include <string>

namespace teaselward
{

/**
 * Evacuations that the thread of the route follower reads along with the routes: passes each newer state to the decision thread and stores
 * copies of it for processes that start while the operators' records cannot be read. Stores nothing while there has been no evacuation.
 */
class evacuation_feed
{
public:
    /**
     * Creates a feed without a state.
     * @param source client of the store
     * @param events ring of the decision thread, which receives evacuations_reported
     * @param log logger
     */
    evacuation_feed(route_source &source, bounded_ring<entry_event> &events, logger &log);

    /** @return state as of the last read, to be passed to the source and updated by it */
    evacuation_state &state();

    /** Passes the state to the decision thread if it is newer than the one passed last. */
    void publish();

    /** Stores a copy of the state if the evacuated failure domains have changed since the last copy. */
    void storeCopy();

    /**
     * Passes a stored copy to the decision thread, unless the operators' records have been read.
     * @param copy the copy; offset zero if there is none
     */
    void adoptCopy(const evacuation_state &copy);

private:
    route_source &m_source;
    bounded_ring<entry_event> &m_events;
    logger &m_log;
    evacuation_state m_state;
    evacuation_state m_published;
    std::set<std::string> m_copied; ///< Failure domains in the last copy of this process.
    int m_copyAttempts = 0; ///< Attempts to store a copy of m_published.
};

} // namespace teaselward
