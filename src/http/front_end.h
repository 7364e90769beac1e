#pragma once

#include "base/bounded_ring.h"
#include "http/front_end_settings.h"
#include "job/entry_action.h"
#include "job/entry_event.h"
#include "log/logger.h"

#include <memory>
#include <string>

namespace teaselward
{

namespace detail
{
class front_end_private;
}

/**
 * HTTP front end of an entry for callers and operators. It turns requests into events and actions into responses; it
 * decides nothing. Each listener has a thread that parses its requests, and the reply thread writes the responses.
 */
class front_end
{
public:
    /**
     * Opens the listeners and starts the threads.
     * @param settings settings of the listeners
     * @param events ring of the decision thread; a request is refused as overloaded and not run while it is full
     * @param log logger; it must outlive the front end
     * @throws std::system_error if a listener cannot be opened
     */
    front_end(const front_end_settings &settings, bounded_ring<entry_event> &events, logger &log);
    ~front_end();

    front_end(const front_end &) = delete;
    front_end &operator=(const front_end &) = delete;

    /** @return address of the callers' listener as IP:PORT, with the port that the system chose if the setting has port 0 */
    std::string callerAddress() const;

    /** @return address of the operators' listener as IP:PORT; empty if there is none */
    std::string operatorAddress() const;

    /**
     * Posts an answer: reply_tickets, reply_job or reply_status. It blocks while the ring of answers is full.
     * @param reply the answer
     * @return false if the front end has stopped
     */
    bool post(entry_action reply);

    /** Answers the pending requests, closes the listeners and ends the threads. */
    void stop();

private:
    std::unique_ptr<detail::front_end_private> d;
};

} // namespace teaselward
