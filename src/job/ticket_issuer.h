#pragma once

#include "base/clock.h"
#include "core/entry_info.h"
#include "core/reason.h"
#include "core/ticket.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace teaselward
{

/** Issues and checks the tickets of one entry incarnation. Keeps no state per ticket. */
class ticket_issuer
{
public:
    /**
     * Creates an issuer that has issued no tickets.
     * @param self this entry, the home of the tickets
     * @param lifetime time after which a ticket no longer starts a job
     * @param start time that issue times are relative to
     */
    ticket_issuer(const entry_info &self, std::chrono::milliseconds lifetime, mono_time start);

    /**
     * Issues tickets.
     * @param count number of tickets
     * @param now current time
     */
    std::vector<ticket> issue(std::uint32_t count, mono_time now);

    /**
     * Returns whether this incarnation is the home of a ticket.
     * @param source the ticket
     */
    bool isHome(const ticket &source) const;

    /**
     * Checks a ticket of this incarnation.
     * @param source the ticket
     * @param now current time
     * @return none, badTicket if it was never issued, or ticketExpired
     */
    reason check(const ticket &source, mono_time now) const;

private:
    entry_info m_self;
    std::chrono::milliseconds m_lifetime;
    mono_time m_start;
    std::uint64_t m_nextSequence = 1;
};

} // namespace teaselward
