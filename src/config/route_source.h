#pragma once

#include "core/route_config.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <system_error>

namespace teaselward
{

/** Store from which the routes are read. Calls block; only the thread that follows the routes makes them. */
class route_source
{
public:
    virtual ~route_source() = default;

    /**
     * Reads the newest version.
     * @param found set to it; its version stays zero if there is none yet
     * @param next set to the position from which wait() finds later versions
     * @return no error, or an error of the platform layer
     */
    virtual std::error_code newest(route_config &found, std::uint64_t &next) = 0;

    /**
     * Waits for a later version.
     * @param next position from newest() or wait(); moved on
     * @param wait longest time to wait
     * @param found set to the newest version that came; its version stays zero if none came
     * @return no error, or an error of the platform layer; after any error newest() is to be called
     */
    virtual std::error_code wait(std::uint64_t &next, std::chrono::milliseconds wait, route_config &found) = 0;

    /**
     * Reads a version from its text, such as a peer hands over.
     * @param text the text
     * @param found set to it
     * @return no error, or an error of the platform layer
     */
    virtual std::error_code decode(const std::string &text, route_config &found) const = 0;
};

} // namespace teaselward
