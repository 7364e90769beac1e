#pragma once

namespace teaselward
{

/** Session that uses a connection. The connection owns it. */
class link_user
{
public:
    virtual ~link_user() noexcept(false) = default; // Members of the KJ library may throw when they are destroyed.

    /** Sends a heartbeat, since nothing else was sent for a while. */
    virtual void sendPing() = 0;

    /** Reports that the connection is lost. It is called once; the user must not use its connection any more. */
    virtual void handleLost() = 0;
};

} // namespace teaselward
