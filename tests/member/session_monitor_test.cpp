#include "member/session_monitor.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

const mono_time Start = mono_time() + 1h;

// Checks every 100 ms until the state is no longer alive.
session_state checkUntil(session_monitor &monitor, mono_time &now, mono_time end)
{
    while (now < end) {
        now += 100ms;
        const session_state state = monitor.check(now);
        if (state != session_state::alive) {
            return state;
        }
    }
    return session_state::alive;
}

} // namespace

BOOST_AUTO_TEST_SUITE(session_monitor_test)

// Guards against heartbeats that are sent although other messages already show that the process is alive.
BOOST_AUTO_TEST_CASE(asksForNoHeartbeatWhileMessagesAreSent)
{
    session_monitor monitor(2s, 500ms, Start);
    mono_time now = Start;
    for (int step = 0; step < 100; ++step) {
        now += 100ms;
        if (step % 4 == 0) {
            monitor.recordSent(now);
        }
        monitor.recordReceived(now);
        BOOST_TEST((monitor.check(now) == session_state::alive));
    }
}

// Guards against an idle session that the peer considers lost.
BOOST_AUTO_TEST_CASE(asksForAHeartbeatAfterSilence)
{
    session_monitor monitor(2s, 500ms, Start);
    mono_time now = Start;
    BOOST_TEST((checkUntil(monitor, now, Start + 10s) == session_state::heartbeatDue));
    BOOST_TEST((now - Start == 500ms));
}

// Guards against a peer that is kept forever although it is paused or was disconnected without a reset.
BOOST_AUTO_TEST_CASE(expiresWhenThePeerIsSilentForTheLease)
{
    session_monitor monitor(2s, 500ms, Start);
    mono_time now = Start;
    session_state state = session_state::alive;
    while (state != session_state::expired && now < Start + 10s) {
        now += 100ms;
        monitor.recordSent(now);
        state = monitor.check(now);
    }
    BOOST_TEST((state == session_state::expired));
    BOOST_TEST((now - Start == 2100ms));
}

// Guards against a process that resumes after a pause and drops every session although messages wait in its sockets.
BOOST_AUTO_TEST_CASE(givesThePeerTimeAfterAnOwnPause)
{
    session_monitor monitor(2s, 500ms, Start);
    BOOST_TEST((monitor.check(Start + 100ms) == session_state::alive));
    const mono_time resumed = Start + 1min;
    BOOST_TEST((monitor.check(resumed) == session_state::heartbeatDue));
    monitor.recordSent(resumed);
    monitor.recordReceived(resumed + 10ms);
    BOOST_TEST((monitor.check(resumed + 100ms) == session_state::alive));
}

// Guards against a pause after which a dead peer is never detected.
BOOST_AUTO_TEST_CASE(expiresAPeerThatStaysSilentAfterAnOwnPause)
{
    session_monitor monitor(2s, 500ms, Start);
    mono_time now = Start + 1min;
    session_state state = monitor.check(now);
    while (state != session_state::expired && now < Start + 2min) {
        now += 100ms;
        monitor.recordSent(now);
        state = monitor.check(now);
    }
    BOOST_TEST((state == session_state::expired));
    BOOST_TEST((now - Start <= 1min + 1100ms));
}

// Guards against a lease that never ends at a process which is paused again and again: its runs would outlast their home.
BOOST_AUTO_TEST_CASE(expiresASilentPeerInASeriesOfOwnPauses)
{
    session_monitor monitor(600ms, 200ms, Start);
    mono_time now = Start;
    session_state state = session_state::alive;
    while (state != session_state::expired && now < Start + 10s) {
        now += 310ms; // More than half a lease.
        monitor.recordSent(now);
        state = monitor.check(now);
    }
    BOOST_TEST((state == session_state::expired));
    BOOST_TEST((now - Start <= 600ms + 300ms + 310ms));
}

BOOST_AUTO_TEST_SUITE_END()
