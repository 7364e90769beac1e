#include "chain/simulated_process.h"

#include <algorithm>
#include <utility>

namespace teaselward
{

namespace
{

using namespace std::chrono_literals;

// Time until a woken thread runs; on a busy machine it now and then waits for its processor.
constexpr std::chrono::microseconds MinWakeDelay = 10us;
constexpr std::chrono::microseconds MaxWakeDelay = 150us;
constexpr std::chrono::microseconds MaxLateWakeDelay = 15ms;
constexpr double LateWakes = 0.005;

// The threads of a process that was frozen go on in any order.
constexpr std::chrono::microseconds MaxThawDelay = 2ms;

} // namespace

simulated_process::simulated_process(virtual_timeline &timeline, seeded_random &random)
    : m_timeline(timeline)
    , m_random(random)
{
}

std::chrono::microseconds simulated_process::wakeDelay()
{
    return m_random.between(MinWakeDelay, m_random.chance(LateWakes) ? MaxLateWakeDelay : MaxWakeDelay);
}

void simulated_process::post(process_lane lane, std::chrono::nanoseconds delay, std::function<void()> callback)
{
    mono_time &lastDue = stateOf(lane).lastDue;
    lastDue = std::max(lastDue, m_timeline.now() + delay + wakeDelay());
    schedule(lane, lastDue, std::move(callback));
}

void simulated_process::wake(process_lane lane, std::chrono::nanoseconds delay, std::function<void()> callback)
{
    schedule(lane, m_timeline.now() + delay + wakeDelay(), std::move(callback));
}

void simulated_process::schedule(process_lane lane, mono_time due, std::function<void()> callback)
{
    if (m_isAlive) {
        m_timeline.at(due, [this, lane, incarnation = m_incarnation, callback = std::move(callback)] {
            run(lane, incarnation, callback);
        });
    }
}

// A callback waits behind those that became due before it.
void simulated_process::run(process_lane lane, std::uint64_t incarnation, const std::function<void()> &callback)
{
    if (!m_isAlive || incarnation != m_incarnation) {
        return;
    }
    lane_state &state = stateOf(lane);
    if (!state.waiting.empty()) {
        state.waiting.push_back(callback);
    } else if (state.readyAt() > m_timeline.now()) {
        state.waiting.push_back(callback);
        resumeLater(lane);
    } else {
        execute(state, callback);
    }
}

void simulated_process::resumeLater(process_lane lane)
{
    m_timeline.at(stateOf(lane).readyAt(), [this, lane, incarnation = m_incarnation] {
        resume(lane, incarnation);
    });
}

// The thread may have been frozen again since the resumption was registered.
void simulated_process::resume(process_lane lane, std::uint64_t incarnation)
{
    if (!m_isAlive || incarnation != m_incarnation) {
        return;
    }
    lane_state &state = stateOf(lane);
    while (!state.waiting.empty() && state.readyAt() <= m_timeline.now()) {
        const std::function<void()> callback = std::move(state.waiting.front());
        state.waiting.pop_front();
        execute(state, callback);
    }
    if (!state.waiting.empty()) {
        resumeLater(lane);
    }
}

void simulated_process::execute(lane_state &state, const std::function<void()> &callback)
{
    if (m_slowUntil > m_timeline.now()) {
        state.busyUntil = m_timeline.now() + m_callbackTime;
    }
    callback();
}

simulated_process::lane_state &simulated_process::stateOf(process_lane lane)
{
    return m_lanes.at(static_cast<std::size_t>(lane));
}

void simulated_process::kill()
{
    m_isAlive = false;
}

void simulated_process::restart()
{
    ++m_incarnation;
    m_isAlive = true;
    m_lanes = {};
    m_slowUntil = {};
}

void simulated_process::freeze(std::chrono::microseconds length)
{
    for (lane_state &lane : m_lanes) {
        lane.frozenUntil = std::max(lane.frozenUntil, m_timeline.now() + length + m_random.between(0us, MaxThawDelay));
    }
}

void simulated_process::freeze(process_lane lane, std::chrono::microseconds length)
{
    lane_state &state = stateOf(lane);
    state.frozenUntil = std::max(state.frozenUntil, m_timeline.now() + length);
}

void simulated_process::slow(std::chrono::microseconds length, std::chrono::microseconds callbackTime)
{
    m_slowUntil = m_timeline.now() + length;
    m_callbackTime = callbackTime;
}

bool simulated_process::isAlive() const
{
    return m_isAlive;
}

bool simulated_process::isFrozen() const
{
    return std::ranges::any_of(m_lanes, [this](const lane_state &lane) {
        return lane.frozenUntil > m_timeline.now();
    });
}

} // namespace teaselward
