#pragma once

#include "base/clock.h"
#include "chain/process_lane.h"
#include "chain/seeded_random.h"
#include "chain/virtual_timeline.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

namespace teaselward
{

/** Process whose threads get their processor with a delay, and that can be killed, started again, frozen and slowed. */
class simulated_process
{
public:
    /**
     * Creates a running process.
     * @param timeline time of the simulation; must outlive the process
     * @param random decisions of the simulation; must outlive the process
     */
    simulated_process(virtual_timeline &timeline, seeded_random &random);

    /**
     * Runs a callback on a thread, after the callbacks that were posted to it before. It is dropped if the process is killed first.
     * @param lane the thread
     * @param delay time after which the thread is woken
     * @param callback the callback
     */
    void post(process_lane lane, std::chrono::nanoseconds delay, std::function<void()> callback);

    /**
     * Runs a callback on a thread when a timer fires.
     * @param lane the thread
     * @param delay time until the timer fires
     * @param callback the callback
     */
    void wake(process_lane lane, std::chrono::nanoseconds delay, std::function<void()> callback);

    /** Kills the process. */
    void kill();

    /** Starts a killed process again. */
    void restart();

    /**
     * Freezes all threads.
     * @param length time until they go on
     */
    void freeze(std::chrono::microseconds length);

    /**
     * Freezes one thread, like one that gets its processor late.
     * @param lane the thread
     * @param length time until it goes on
     */
    void freeze(process_lane lane, std::chrono::microseconds length);

    /**
     * Slows all threads: each callback occupies its thread, so that the later ones queue up.
     * @param length time until the threads are fast again
     * @param callbackTime time that a callback takes
     */
    void slow(std::chrono::microseconds length, std::chrono::microseconds callbackTime);

    /** @return whether the process is not killed */
    bool isAlive() const;

    /** @return whether the process is frozen */
    bool isFrozen() const;

private:
    std::chrono::microseconds wakeDelay();
    void schedule(process_lane lane, mono_time due, std::function<void()> callback);
    void run(process_lane lane, std::uint64_t incarnation, const std::function<void()> &callback);
    void resumeLater(process_lane lane);
    void resume(process_lane lane, std::uint64_t incarnation);

    struct lane_state {
        mono_time readyAt() const
        {
            return std::max(frozenUntil, busyUntil);
        }

        mono_time lastDue{}; ///< Callbacks posted later run no earlier.
        mono_time frozenUntil{};
        mono_time busyUntil{}; ///< The current callback takes until then.
        std::deque<std::function<void()>> waiting; ///< Callbacks that became due while the thread was frozen or busy.
    };

    lane_state &stateOf(process_lane lane);
    void execute(lane_state &state, const std::function<void()> &callback);

    virtual_timeline &m_timeline;
    seeded_random &m_random;
    std::array<lane_state, LaneCount> m_lanes{};
    mono_time m_slowUntil{};
    std::chrono::microseconds m_callbackTime{}; ///< Time that a callback takes while the process is slow.
    std::uint64_t m_incarnation = 1;
    bool m_isAlive = true;
};

} // namespace teaselward
