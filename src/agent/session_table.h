#pragma once

#include "base/clock.h"
#include "core/entry_id.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace teaselward
{

/**
 * Numbers the registrations of an agent with the entries. Credits are reset with each registration, so an answer to a request of
 * an earlier connection must carry none.
 */
class session_table
{
public:
    /**
     * Starts a new registration; it replaces an earlier one of the entry.
     * @param entry the entry
     * @param confirmedAt time at which the registration was sent
     */
    void begin(const entry_id &entry, mono_time confirmedAt)
    {
        m_sessions[entry] = {.number = ++m_last, .confirmedAt = confirmedAt};
    }

    /**
     * Records that an entry has answered a call. Ignored if the entry is not connected.
     * @param entry the entry
     * @param at time at which the call was sent
     */
    void confirm(const entry_id &entry, mono_time at)
    {
        if (const auto found = m_sessions.find(entry); found != m_sessions.end()) {
            found->second.confirmedAt = std::max(found->second.confirmedAt, at);
        }
    }

    /**
     * Records the state of the evacuations that an entry is known to have. Ignored if the entry is not connected.
     * @param entry the entry
     * @param offset offset of the state
     */
    void setEvacuationOffset(const entry_id &entry, std::uint64_t offset)
    {
        if (const auto found = m_sessions.find(entry); found != m_sessions.end()) {
            found->second.evacuationOffset = std::max(found->second.evacuationOffset, offset);
        }
    }

    /**
     * Returns the offset of the newest state of the evacuations that an entry has sent or was sent in this session.
     * @param entry the entry
     * @return the offset; zero if there is none
     */
    std::uint64_t evacuationOffset(const entry_id &entry) const
    {
        const auto found = m_sessions.find(entry);
        return found == m_sessions.end() ? 0 : found->second.evacuationOffset;
    }

    /**
     * Ends the registration of an entry whose connection is lost.
     * @param entry the entry
     */
    void end(const entry_id &entry)
    {
        m_sessions.erase(entry);
    }

    /**
     * Finds the current registration.
     * @param entry the entry
     * @return its number, or zero if the entry is not connected
     */
    std::uint64_t current(const entry_id &entry) const
    {
        const auto found = m_sessions.find(entry);
        return found == m_sessions.end() ? 0 : found->second.number;
    }

    /**
     * Finds out when an entry was last known not to have given up its registration.
     * @param entry the entry
     * @return the time, or the earliest time if the entry is not connected
     */
    mono_time confirmedAt(const entry_id &entry) const
    {
        const auto found = m_sessions.find(entry);
        return found == m_sessions.end() ? mono_time{} : found->second.confirmedAt;
    }

    /** @return number of connected entries */
    std::size_t size() const
    {
        return m_sessions.size();
    }

    /** @return all connected entries */
    std::vector<entry_id> entries() const
    {
        std::vector<entry_id> all;
        all.reserve(m_sessions.size());
        for (const auto &[entry, session] : m_sessions) {
            all.push_back(entry);
        }
        return all;
    }

private:
    struct session {
        std::uint64_t number = 0;
        mono_time confirmedAt{};
        std::uint64_t evacuationOffset = 0;
    };

    std::map<entry_id, session> m_sessions; ///< Ordered, so that a seed replays exactly.
    std::uint64_t m_last = 0;
};

} // namespace teaselward
