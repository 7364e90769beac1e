#pragma once

#include "log/log_part.h"

#include <string_view>

namespace teaselward
{

/** Interface for writing log lines. The decision code depends only on it, so that tests and the bench run without output. */
class logger
{
public:
    virtual ~logger() = default;

    /** @return whether lines are written; if not, callers can skip formatting them */
    virtual bool isEnabled() const = 0;

    /**
     * Writes one line. Never blocks: if the queue is full, the line is dropped and counted.
     * @param part part of the program
     * @param line short sentence followed by key=value fields
     */
    virtual void write(log_part part, std::string_view line) = 0;
};

} // namespace teaselward
