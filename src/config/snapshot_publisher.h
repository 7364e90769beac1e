#pragma once

#include "config/config_follower_settings.h"
#include "config/config_reader.h"
#include "config/snapshot_schedule.h"
#include "log/logger.h"
#include "platform/platform_log.h"

#include <cstdint>

namespace teaselward
{

/** Publishes snapshots of the configuration when the schedule requires it. */
class snapshot_publisher
{
public:
    /**
     * Creates a publisher for one reader.
     * @param settings stream, retention and timeouts; they must outlive the publisher
     * @param platform client of the platform log
     * @param log logger
     * @param seed seed of the random delays
     */
    snapshot_publisher(const config_follower_settings &settings, platform_log &platform, logger &log, std::uint64_t seed);

    /**
     * Updates the schedule after the reader has read records.
     * @param reader the reader, which must be current
     * @param isFresh whether the records were read when they were appended, not during the start
     * @param now current time
     */
    void observe(const config_reader &reader, bool isFresh, mono_time now);

    /**
     * Appends a snapshot if one is due.
     * @param reader the reader, which must be current
     */
    void publishIfDue(const config_reader &reader);

private:
    const config_follower_settings &m_settings;
    platform_log &m_platform;
    logger &m_log;
    snapshot_schedule m_schedule;
};

} // namespace teaselward
