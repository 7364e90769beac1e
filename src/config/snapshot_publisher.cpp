#include "config/snapshot_publisher.h"

#include "config/config_error.h"
#include "config/record_codec.h"

#include <string>

namespace teaselward
{

namespace
{

// A snapshot that was appended but not read back is repeated after this fraction of the retention.
constexpr int RepeatDivisor = 8;

} // namespace

snapshot_publisher::snapshot_publisher(const config_follower_settings &settings, platform_log &platform, logger &log, std::uint64_t seed)
    : m_settings(settings)
    , m_platform(platform)
    , m_log(log)
    , m_schedule(settings.retention, seed)
{
}

void snapshot_publisher::observe(const config_reader &reader, bool isFresh, mono_time now)
{
    if (!reader.state().files().empty()) {
        m_schedule.setOldestNeeded(reader.oldestNeeded(), isFresh, now);
    }
    m_schedule.setRetained(reader.firstRetained(), reader.nextOffset(), now);
}

// An empty configuration needs no snapshot, since a reader without records has the same state.
void snapshot_publisher::publishIfDue(const config_reader &reader)
{
    if (reader.state().files().empty() || !m_schedule.isDue(mono_clock::now())) {
        return;
    }
    std::uint64_t offset = 0;
    const std::string body = encodeRecord(reader.state().snapshot());
    const std::error_code error = configErrorFromPlatform(m_platform.append(m_settings.stream, body, m_settings.appendTimeout, offset));
    m_schedule.postpone(error ? m_settings.retryLimit : m_settings.retention / RepeatDivisor, mono_clock::now());
    if (m_log.isEnabled()) {
        m_log.write(log_part::config,
                    error ? "Cannot publish a snapshot. error=" + error.message()
                          : "Published a snapshot. offset=" + std::to_string(offset) + " covers=" + std::to_string(reader.state().offset()));
    }
}

} // namespace teaselward
