#pragma once

#include "log/logger.h"

#include <absl/synchronization/mutex.h>

#include <string>
#include <vector>

namespace teaselward
{

/** Logger that stores every line for a test to search. Thread-safe, since the RPC threads write while the test reads. */
class capturing_logger : public logger
{
public:
    bool isEnabled() const override
    {
        return true;
    }

    void write(log_part /*part*/, std::string_view line) override
    {
        absl::MutexLock lock(&m_mutex);
        m_lines.emplace_back(line);
    }

    /** @return whether any line written so far contains the text */
    bool contains(const std::string &text) const
    {
        absl::MutexLock lock(&m_mutex);
        for (const std::string &line : m_lines) {
            if (line.find(text) != std::string::npos) {
                return true;
            }
        }
        return false;
    }

private:
    mutable absl::Mutex m_mutex;
    std::vector<std::string> m_lines;
};

} // namespace teaselward
