#pragma once

#include "base/clock.h"
#include "core/entry_id.h"
#include "member/entry_directory_settings.h"

#include <memory>
#include <string>
#include <vector>

namespace teaselward
{

namespace detail
{
class entry_directory_private;
}

/**
 * Known addresses of entries, and the times of the next connection attempts. Configured addresses are kept forever, learned
 * ones until they have been unreachable for a while. It does no I/O and reads no clock.
 *
 * With a session target the directory selects a subset of the addresses by rendezvous hashing, so that the sessions of a process
 * do not grow with the number of entries, and each entry is in the subsets of about as many processes as the others. An address
 * that stays unreachable is replaced by the next in rank; once it is back, the connection of its replacement is surplus.
 */
class entry_directory
{
public:
    /**
     * Creates an empty directory.
     * @param settings limits and intervals
     * @param now current time
     */
    entry_directory(const entry_directory_settings &settings, mono_time now);
    ~entry_directory();

    entry_directory(const entry_directory &) = delete;
    entry_directory &operator=(const entry_directory &) = delete;

    /**
     * Adds a configured address.
     * @param address IP:PORT
     * @param now current time
     */
    void configure(const std::string &address, mono_time now);

    /**
     * Adds an address reported by a peer, unless the directory is full.
     * @param address IP:PORT
     * @param now current time
     * @return whether the address is in the directory
     */
    bool learn(const std::string &address, mono_time now);

    /**
     * Excludes an address because it belongs to this process.
     * @param address IP:PORT
     */
    void exclude(const std::string &address);

    /**
     * Makes an address due immediately because a request waits for it.
     * @param address IP:PORT
     * @param now current time
     */
    void retryNow(const std::string &address, mono_time now);

    /**
     * Returns the addresses to connect to now; each counts as connecting until setConnected() or setLost() is called. An
     * address is skipped if the incarnation it last reached is connected under another address.
     * @param now current time
     * @return addresses, limited by the retry budget
     */
    std::vector<std::string> takeDue(mono_time now);

    /**
     * Returns the connected addresses that have not been needed for a while; each is returned once. New work should be kept
     * away from them, and they should be closed when no work is in progress.
     * @param now current time
     */
    std::vector<std::string> takeSurplus(mono_time now);

    /**
     * Records that a connection was established.
     * @param address IP:PORT
     * @param entry incarnation of the entry that answered
     */
    void setConnected(const std::string &address, const entry_id &entry);

    /**
     * Records that an attempt failed or that a connection was lost.
     * @param address IP:PORT
     * @param now current time
     */
    void setLost(const std::string &address, mono_time now);

    /** @return connected addresses */
    std::vector<std::string> connected() const;

    /** @return number of known addresses */
    std::size_t size() const;

private:
    std::unique_ptr<detail::entry_directory_private> d;
};

} // namespace teaselward
