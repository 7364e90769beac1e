#pragma once

#include "agent/run/announcement_effect.h"
#include "agent/run/endpoint_announcement.h"

#include <optional>
#include <string>
#include <string_view>

namespace teaselward
{

/** Tracks the one endpoint of an agent and filters its heartbeats, which may be delayed or belong to another service. */
class endpoint_watch
{
public:
    /**
     * Creates a watch that knows no endpoint.
     * @param service required service of the endpoint; empty to accept any
     */
    explicit endpoint_watch(std::string service);

    /**
     * Handles a heartbeat.
     * @param announcement the heartbeat
     * @return its effect
     */
    announcement_effect applyHeartbeat(const endpoint_announcement &announcement);

    /**
     * Handles the announcement that an endpoint has stopped.
     * @param id id of the endpoint
     * @return whether it is the current endpoint, whose next heartbeat is then adopted
     */
    bool applyStop(std::string_view id);

    /** Records that the current instance has answered calls. Only then do heartbeats of earlier instances become outdated for good. */
    void markConfirmed();

    /**
     * Marks the current instance as lost, so that its next heartbeat is adopted again. An instance that never answered is
     * forgotten: its heartbeat may have come from another writer, and must not hide those of the real endpoint.
     */
    void markLost();

    /** @return the newest accepted announcement; empty if there is none */
    const std::optional<endpoint_announcement> &current() const;

private:
    static bool isSameInstance(const std::optional<endpoint_announcement> &known, const endpoint_announcement &announcement);

    std::string m_service;
    std::optional<endpoint_announcement> m_current;
    std::optional<endpoint_announcement> m_notServed; ///< The latest instance that was draining when it was announced first.
    std::optional<endpoint_announcement> m_confirmed; ///< The latest instance that has answered calls.
    bool m_isAdopted = false;
};

} // namespace teaselward
