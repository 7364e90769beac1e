#pragma once

#include "log/logger.h"

#include <cstdint>
#include <memory>
#include <string>

namespace teaselward
{

namespace detail
{
class stderr_logger_private;
}

/**
 * Writes log lines to the standard error stream through Boost.Log. A dedicated thread does the output from a bounded queue;
 * while the queue is full, lines are dropped and counted.
 */
class stderr_logger : public logger
{
public:
    /**
     * Starts the output thread.
     * @param role name of the process, included in every line
     * @param enabled false to discard all lines
     */
    stderr_logger(const std::string &role, bool enabled);
    ~stderr_logger() override;

    stderr_logger(const stderr_logger &) = delete;
    stderr_logger &operator=(const stderr_logger &) = delete;

    bool isEnabled() const override;
    void write(log_part part, std::string_view line) override;

    /** @return number of lines dropped by all loggers of the process since its start */
    static std::uint64_t dropped();

private:
    std::unique_ptr<detail::stderr_logger_private> d;
};

} // namespace teaselward
