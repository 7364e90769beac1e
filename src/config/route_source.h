#pragma once

#include "core/route_config.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <system_error>

namespace teaselward
{

/** Store from which the routes are read. Calls block; only the thread of the route follower makes them. */
class route_source
{
public:
    virtual ~route_source() = default;

    /**
     * Reads the newest version.
     * @param found set to the newest version; its version number stays zero if there is none yet
     * @param next set to the position from which wait() finds later versions
     * @return no error, or an error of the platform layer
     */
    virtual std::error_code newest(route_config &found, std::uint64_t &next) = 0;

    /**
     * Waits for a later version.
     * @param next position from newest() or wait(); advanced by the call
     * @param wait longest time to wait
     * @param found set to the newest version that arrived; its version number stays zero if none arrived
     * @return no error, or an error of the platform layer, after which newest() must be called
     */
    virtual std::error_code wait(std::uint64_t &next, std::chrono::milliseconds wait, route_config &found) = 0;

    /**
     * Stores a copy of a version, which newestCopy() finds even if the operators' records cannot be read.
     * @param text text of the version
     * @return no error, or an error of the platform layer
     */
    virtual std::error_code storeCopy(const std::string &text) = 0;

    /**
     * Reads the newest copy that can be reached. It may be older than the newest version.
     * @param found set to the copy; its version number stays zero if there is none
     * @return no error if a copy was found or none exists, otherwise an error of the platform layer
     */
    virtual std::error_code newestCopy(route_config &found) = 0;

    /**
     * Decodes a version from its text, which may come from a peer.
     * @param text the text
     * @param found set to the decoded version
     * @return no error, or an error of the platform layer
     */
    virtual std::error_code decode(const std::string &text, route_config &found) const = 0;
};

} // namespace teaselward
