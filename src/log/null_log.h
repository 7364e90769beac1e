#pragma once

#include "log/decision_log.h"

namespace teaselward
{

/** Discards every line. */
class null_log : public decision_log
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
