#pragma once

#include "base/clock.h"
#include "core/entry_id.h"
#include "core/entry_info.h"
#include "core/team_usage.h"
#include "job/entry_context.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <vector>

namespace teaselward
{

/** Knows the other entries and exchanges the use of the team quotas with them. */
class quota_exchange
{
public:
    /**
     * Creates the state of an entry without peers.
     * @param context what the parts of the entry share
     */
    explicit quota_exchange(entry_context &context);

    /**
     * Adds a peer.
     * @param info announcement of the other entry
     */
    void addPeer(const entry_info &info);

    /**
     * Removes a peer whose connection is lost. It still counts for the quotas for a while.
     * @param peer the other entry
     */
    void removePeer(const entry_id &peer);

    /**
     * Records the report of a peer.
     * @param peer the other entry
     * @param usage its use of the team quotas
     */
    void recordUsage(const entry_id &peer, std::vector<team_usage> usage);

    /** Sends the report that is due. */
    void runTimers();

    /** @return instant of the next report, or the greatest one without peers */
    mono_time nextDue() const;

    /** @return the connected peers */
    std::vector<entry_info> peers() const;

private:
    void setEntryCount(std::size_t entries);

    entry_context &m_context;
    absl::flat_hash_map<entry_id, entry_info> m_peers;
    std::size_t m_entryCount = 1; ///< Entries that share the quotas, as told to the queue.
    mono_time m_lostAt{}; ///< Last time that a peer was lost.
    mono_time m_nextReport = mono_time::max();
};

} // namespace teaselward
