#pragma once

#include "log/logger.h"

namespace teaselward
{

/** Discards every line. */
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
