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
 * Publishes changes of an operator. Whether a change is accepted is known once it has been read back and applied, as every
 * other reader does. Not thread-safe.
 */
class config_publisher
{
public:
    /**
     * Creates a publisher with an empty state; load() reads the stream.
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
     * Publishes a change. All attempts use the same append id, so that a retry after a lost answer is harmless.
     * @param file name of the file
     * @param content new content; nothing to remove the file
     * @param base version that the change replaces; nothing for the version last read
     * @return result of the change
     */
    publish_result publish(const std::string &file, std::optional<std::string> content, std::optional<std::uint64_t> base);

    /** @return the state as last read */
    const config_state &state() const;

    /** @return whether the log has dropped changes that no snapshot includes */
    bool hasGap() const;

private:
    std::unique_ptr<detail::config_publisher_private> d;
};

} // namespace teaselward
