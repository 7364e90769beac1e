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
 * Addresses of entries that a process knows, and the times at which it connects to them. Configured addresses are kept for
 * ever, learnt ones until they stay unreachable. It knows no socket and no clock.
 */
class entry_directory
{
public:
    /**
     * Creates an empty directory.
     * @param settings bounds
     * @param now present time
     */
    entry_directory(const entry_directory_settings &settings, mono_time now);
    ~entry_directory();

    entry_directory(const entry_directory &) = delete;
    entry_directory &operator=(const entry_directory &) = delete;

    /**
     * Adds an address of the settings.
     * @param address IP:PORT
     * @param now present time
     */
    void configure(const std::string &address, mono_time now);

    /**
     * Adds an address that a peer named, unless the directory is full.
     * @param address IP:PORT
     * @param now present time
     * @return whether the address is known now
     */
    bool learn(const std::string &address, mono_time now);

    /**
     * Excludes an address, since it is the process itself.
     * @param address IP:PORT
     */
    void exclude(const std::string &address);

    /**
     * Makes an address due at once, since a request waits for it.
     * @param address IP:PORT
     * @param now present time
     */
    void retryNow(const std::string &address, mono_time now);

    /**
     * Takes the addresses that are to be connected now; each counts as being connected until one of the calls below.
     * An address that reached an incarnation which is connected under another address is left out.
     * @param now present time
     * @return addresses, as many as the retry budget allows
     */
    std::vector<std::string> takeDue(mono_time now);

    /**
     * Records that a connection is established.
     * @param address IP:PORT
     * @param entry incarnation that answered
     */
    void setConnected(const std::string &address, const entry_id &entry);

    /**
     * Records that an attempt failed or that a connection was lost.
     * @param address IP:PORT
     * @param now present time
     */
    void setLost(const std::string &address, mono_time now);

    /** @return addresses that are connected */
    std::vector<std::string> connected() const;

    /** @return number of addresses that are known */
    std::size_t size() const;

private:
    std::unique_ptr<detail::entry_directory_private> d;
};

} // namespace teaselward
