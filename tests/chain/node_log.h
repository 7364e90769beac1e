#pragma once

#include "chain/virtual_timeline.h"
#include "log/logger.h"

#include <chrono>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace teaselward
{

/** Log of one part of a simulation: writes each line with the virtual time and the name of the part, if there is an output. */
class node_log : public logger
{
public:
    /**
     * Creates a log.
     * @param name name of the part
     * @param timeline time of the simulation; must outlive the log
     * @param output receives the lines; may be null, and must outlive the log otherwise
     */
    node_log(std::string name, const virtual_timeline &timeline, std::ostream *output)
        : m_name(std::move(name))
        , m_timeline(timeline)
        , m_output(output)
    {
    }

    bool isEnabled() const override
    {
        return m_output != nullptr;
    }

    void write(log_part /*part*/, std::string_view line) override
    {
        if (isEnabled()) {
            const auto time = m_timeline.now().time_since_epoch() - std::chrono::hours(1);
            *m_output << std::chrono::duration_cast<std::chrono::milliseconds>(time).count() << " ms " << m_name << ": " << line << '\n';
        }
    }

private:
    std::string m_name;
    const virtual_timeline &m_timeline;
    std::ostream *m_output;
};

} // namespace teaselward
