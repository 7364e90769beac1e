#pragma once

#include "log/decision_log.h"

#include <cstdint>
#include <memory>
#include <string>

namespace teaselward
{

namespace detail
{
class process_log_private;
}

/**
 * Writes log lines to the standard error stream through Boost.Log. A thread of its own does the output, fed by a bounded
 * queue; while the queue is full, lines are dropped and counted.
 */
class process_log : public decision_log
{
public:
    /**
     * Starts the output thread.
     * @param role name of the process in every line
     * @param enabled false to write nothing at all
     */
    process_log(const std::string &role, bool enabled);
    ~process_log() override;

    process_log(const process_log &) = delete;
    process_log &operator=(const process_log &) = delete;

    bool isEnabled() const override;
    void write(log_part part, std::string_view line) override;

    /** @return number of lines dropped by all logs of the program since its start */
    static std::uint64_t dropped();

private:
    std::unique_ptr<detail::process_log_private> d;
};

} // namespace teaselward
