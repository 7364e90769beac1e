#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace teaselward
{

/**
 * Decides when a reader publishes a snapshot, before retention drops the oldest record that a new reader needs. Each reader
 * waits a random time more, so that as a rule one of them publishes and the others see its snapshot first.
 */
class snapshot_schedule
{
public:
    /**
     * Creates a schedule without a record.
     * @param retention time that the log keeps records
     * @param seed seed of the random waits
     */
    snapshot_schedule(std::chrono::milliseconds retention, std::uint64_t seed);

    /**
     * Tells which record a new reader needs first; it starts the count when that changes.
     * @param offset offset of the record
     * @param isFresh whether the record was read as it came; otherwise its age is unknown and the snapshot is due soon
     * @param now present time
     */
    void setOldestNeeded(std::uint64_t offset, bool isFresh, mono_time now);

    /**
     * Tells what the log keeps. A log that drops records by their number or size announces the loss only this way.
     * @param first lowest offset that it keeps
     * @param next lowest offset that it has not given out
     * @param now present time
     */
    void setRetained(std::uint64_t first, std::uint64_t next, mono_time now);

    /**
     * Puts the next snapshot off, after one was published or could not be.
     * @param delay time to wait
     * @param now present time
     */
    void postpone(std::chrono::milliseconds delay, mono_time now);

    /**
     * Tells whether a snapshot is due.
     * @param now present time
     * @return whether it is to be published now
     */
    bool isDue(mono_time now) const;

private:
    std::chrono::milliseconds randomDelay(std::chrono::milliseconds limit);

    std::chrono::milliseconds m_retention;
    std::mt19937_64 m_random;
    bool m_isSet = false;
    bool m_isNear = false; // The log is about to drop the record, and the wait for that has begun.
    std::uint64_t m_oldestNeeded = 0;
    std::uint64_t m_firstRetained = 0;
    mono_time m_due{};
};

} // namespace teaselward
