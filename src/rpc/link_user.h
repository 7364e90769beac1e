#pragma once

#include "base/clock.h"

namespace teaselward
{

/** Session that uses a connection. The connection owns it. */
class link_user
{
public:
    virtual ~link_user() noexcept(false) = default; // Destructors of KJ types may throw.

    /** Sends a heartbeat; called when nothing else was sent for the heartbeat time. */
    virtual void sendPing() = 0;

    /**
     * Returns whether a heartbeat is due although other data was sent, because its answer is needed.
     * @param now current time
     */
    virtual bool needsAnswer(mono_time /*now*/) const
    {
        return false;
    }

    /** Called once when the connection is lost; afterwards the session must not use it. */
    virtual void handleLost() = 0;
};

} // namespace teaselward
