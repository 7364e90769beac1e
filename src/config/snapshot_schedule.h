#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace teaselward
{

/**
 * Decides when a reader publishes a snapshot, which must be before retention drops the oldest record that a new reader needs.
 * Each reader adds a random delay, so that usually one of them publishes and the others see its snapshot first.
 */
class snapshot_schedule
{
public:
    /**
     * Creates a schedule without a due time.
     * @param retention time for which the log keeps records
     * @param seed seed of the random delays
     */
    snapshot_schedule(std::chrono::milliseconds retention, std::uint64_t seed);

    /**
     * Sets the oldest record that a new reader needs. The due time is computed anew if the record changes.
     * @param offset offset of the record
     * @param isFresh whether the record was read when it was appended; otherwise its age is unknown and the snapshot is due soon
     * @param now current time
     */
    void setOldestNeeded(std::uint64_t offset, bool isFresh, mono_time now);

    /**
     * Sets the range of records that the log retains. Only this range shows when a log drops records by their number or size.
     * @param first lowest offset that the log retains
     * @param next offset of the next record to be appended
     * @param now current time
     */
    void setRetained(std::uint64_t first, std::uint64_t next, mono_time now);

    /**
     * Postpones the next snapshot, after one was published or could not be published.
     * @param delay time to wait
     * @param now current time
     */
    void postpone(std::chrono::milliseconds delay, mono_time now);

    /**
     * Returns whether a snapshot is due.
     * @param now current time
     * @return whether the reader should publish one now
     */
    bool isDue(mono_time now) const;

private:
    std::chrono::milliseconds randomDelay(std::chrono::milliseconds limit);

    std::chrono::milliseconds m_retention;
    std::mt19937_64 m_random;
    bool m_isSet = false;
    bool m_isExpiring = false; // The log is about to drop the oldest record needed, and the due time takes that into account.
    std::uint64_t m_oldestNeeded = 0;
    std::uint64_t m_firstRetained = 0;
    mono_time m_due{};
};

} // namespace teaselward
