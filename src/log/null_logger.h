#pragma once

#include "log/logger.h"

namespace teaselward
{

/** Logger that discards all lines. */
class null_logger : public logger
{
public:
    bool isEnabled() const override
    {
        return false;
    }

    void write(log_part /*part*/, std::string_view /*line*/) override
    {
    }
};

} // namespace teaselward
