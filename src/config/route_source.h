#pragma once

#include "core/evacuation_state.h"
#include "core/route_config.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <system_error>

namespace teaselward
{

/** Store from which the routes and the evacuations are read. Calls block; only the thread of the route follower makes them. */
class route_source
{
public:
    virtual ~route_source() = default;

    /**
     * Reads the newest version and the evacuations.
     * @param found set to the newest version; its version number stays zero if there is none yet
     * @param evacuations set to the evacuated failure domains; unchanged after an error
     * @param next set to the position from which wait() finds later versions
     * @return no error, or an error of the platform layer
     */
    virtual std::error_code newest(route_config &found, evacuation_state &evacuations, std::uint64_t &next) = 0;

    /**
     * Waits for later records.
     * @param next position from newest() or wait(); advanced by the call
     * @param wait longest time to wait
     * @param found set to the newest version that arrived; its version number stays zero if none arrived
     * @param evacuations state from newest() or wait(), to which the records that arrived are applied
     * @return no error, or an error of the platform layer, after which newest() must be called
     */
    virtual std::error_code wait(std::uint64_t &next, std::chrono::milliseconds wait, route_config &found, evacuation_state &evacuations) = 0;

    /**
     * Stores a copy of a version, which newestCopy() finds even if the operators' records cannot be read.
     * @param text text of the version
     * @return no error, or an error of the platform layer
     */
    virtual std::error_code storeCopy(const std::string &text) = 0;

    /**
     * Stores a copy of the evacuations next to those of the routes.
     * @param evacuations the state
     * @return no error, or an error of the platform layer
     */
    virtual std::error_code storeCopy(const evacuation_state &evacuations) = 0;

    /**
     * Reads the newest copies that can be reached. They may be older than the newest records.
     * @param found set to the copy of the routes; its version number stays zero if there is none
     * @param evacuations set to the copy of the evacuations; its offset stays zero if there is none
     * @return no error if a copy of the routes was found or none exists, otherwise an error of the platform layer
     */
    virtual std::error_code newestCopy(route_config &found, evacuation_state &evacuations) = 0;

    /**
     * Decodes a version from its text, which may come from a peer.
     * @param text the text
     * @param found set to the decoded version
     * @return no error, or an error of the platform layer
     */
    virtual std::error_code decode(const std::string &text, route_config &found) const = 0;
};

} // namespace teaselward
