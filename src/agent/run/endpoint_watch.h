#pragma once

#include "agent/run/announcement_effect.h"
#include "agent/run/endpoint_announcement.h"

#include <optional>
#include <string>
#include <string_view>

namespace teaselward
{

/** Decides which announcements count for the one endpoint beside an agent. Heartbeats may be delayed or come from others. */
class endpoint_watch
{
public:
    /**
     * Creates a watch without an endpoint.
     * @param service service of the endpoints; empty to accept any
     */
    explicit endpoint_watch(std::string service);

    /**
     * Applies a heartbeat.
     * @param announcement the heartbeat
     * @return what it changes
     */
    announcement_effect announced(const endpoint_announcement &announcement);

    /**
     * Applies the announced end of an endpoint.
     * @param id its id
     * @return whether it is the present one, which is then forgotten
     */
    bool withdrawn(std::string_view id);

    /** Forgets that the present life was adopted, so that its next heartbeat has it adopted again. */
    void lost();

    /** @return the newest announcement that counts */
    const std::optional<endpoint_announcement> &current() const;

private:
    std::string m_service;
    std::optional<endpoint_announcement> m_current;
    bool m_isAdopted = false;
};

} // namespace teaselward
