#pragma once

#include "log/log_part.h"

#include <string_view>

namespace teaselward
{

/** Receiver of log lines. The decisions know only this interface, so that tests and the bench run without output. */
class logger
{
public:
    virtual ~logger() = default;

    /** @return whether lines are written at all, so that callers can skip building them */
    virtual bool isEnabled() const = 0;

    /**
     * Writes one line. It never blocks; a line that does not fit is dropped and counted.
     * @param part part of the program
     * @param line short sentence followed by key=value fields
     */
    virtual void write(log_part part, std::string_view line) = 0;
};

} // namespace teaselward
