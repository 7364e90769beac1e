#pragma once

#include "base/clock.h"
#include "core/entry_id.h"
#include "core/entry_info.h"
#include "core/team_usage.h"
#include "job/entry_context.h"

#include <cstddef>
#include <map>
#include <vector>

namespace teaselward
{

/** Tracks the other entries and exchanges the usage of the workspace (team) quotas with them. */
class quota_exchange
{
public:
    /**
     * Creates the state without peers.
     * @param context state shared by the parts of the entry
     */
    explicit quota_exchange(entry_context &context);

    /**
     * Adds a peer.
     * @param info description of the other entry
     */
    void addPeer(const entry_info &info);

    /**
     * Removes a peer whose connection was lost. It still counts in the division of the quotas for a while.
     * @param peer the other entry
     */
    void removePeer(const entry_id &peer);

    /**
     * Records the quota usage reported by a peer.
     * @param peer the other entry
     * @param usage its usage of the quotas
     */
    void recordUsage(const entry_id &peer, std::vector<team_usage> usage);

    /** Sends the usage report if it is due. */
    void runTimers();

    /** @return time of the next report, or mono_time::max() without peers */
    mono_time nextDue() const;

    /** @return the connected peers */
    std::vector<entry_info> peers() const;

private:
    void setEntryCount(std::size_t entries);

    entry_context &m_context;
    std::map<entry_id, entry_info> m_peers; ///< Ordered, so that a seed replays exactly.
    std::size_t m_entryCount = 1; ///< Number of entries that the queue divides the quotas by.
    mono_time m_lostAt{}; ///< Time at which a peer was last lost.
    mono_time m_nextReport = mono_time::max();
};

} // namespace teaselward
