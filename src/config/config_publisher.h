#pragma once

#include "config/config_publisher_settings.h"
#include "config/config_state.h"
#include "config/publish_result.h"
#include "platform/platform_log.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

namespace teaselward
{

namespace detail
{
class config_publisher_private;
}

/**
 * Publishes changes of an operator. A change counts as accepted once it has been read back and folded, which is what every
 * other reader does too. One thread calls it.
 */
class config_publisher
{
public:
    /**
     * Creates a publisher that has read nothing.
     * @param settings settings of the publisher
     * @param platform client of the platform log; it must outlive the publisher
     */
    config_publisher(config_publisher_settings settings, platform_log &platform);
    ~config_publisher();

    config_publisher(const config_publisher &) = delete;
    config_publisher &operator=(const config_publisher &) = delete;

    /**
     * Reads the stream to its end, with bounded retries.
     * @return no error, or config_error::logUnavailable or config_error::logRejected
     */
    std::error_code load();

    /**
     * Publishes a change. The same append id goes with every attempt, so that a lost answer is harmless.
     * @param file name of the file
     * @param content its text; nothing removes it
     * @param base version that the change replaces; nothing takes the one that load() has read
     * @return what became of it
     */
    publish_result publish(const std::string &file, std::optional<std::string> content, std::optional<std::uint64_t> base);

    /** @return the state that was read */
    const config_state &state() const;

    /** @return whether the log has dropped changes that no snapshot covers */
    bool hasGap() const;

private:
    std::unique_ptr<detail::config_publisher_private> d;
};

} // namespace teaselward
