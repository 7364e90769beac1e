#pragma once

#include "config/config_follower_settings.h"
#include "config/config_reader.h"
#include "config/snapshot_schedule.h"
#include "log/logger.h"
#include "platform/platform_log.h"

#include <cstdint>

namespace teaselward
{

/** Publishes the folded configuration as a snapshot when its schedule says so. */
class snapshot_publisher
{
public:
    /**
     * Creates a publisher for one reader.
     * @param settings stream, retention and time-outs; they must outlive the publisher
     * @param platform client of the platform log
     * @param log receiver of the log lines
     * @param seed seed of the random waits
     */
    snapshot_publisher(const config_follower_settings &settings, platform_log &platform, logger &log, std::uint64_t seed);

    /**
     * Takes note of what the reader has read.
     * @param reader the reader, which is current
     * @param isFresh whether the records were read as they came
     * @param now present time
     */
    void observe(const config_reader &reader, bool isFresh, mono_time now);

    /**
     * Appends a snapshot if one is due.
     * @param reader the reader, which is current
     */
    void publishIfDue(const config_reader &reader);

private:
    const config_follower_settings &m_settings;
    platform_log &m_platform;
    logger &m_log;
    snapshot_schedule m_schedule;
};

} // namespace teaselward
