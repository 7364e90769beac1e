#pragma once

#include "log/logger.h"

#include <string>
#include <utility>
#include <vector>

namespace teaselward
{

/** Decision log that stores all lines. */
class recording_log : public logger
{
public:
    bool isEnabled() const override
    {
        return true;
    }

    void write(log_part part, std::string_view line) override
    {
        lines.emplace_back(part, line);
    }

    std::vector<std::pair<log_part, std::string>> lines;
};

} // namespace teaselward
