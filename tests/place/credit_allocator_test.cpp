#include "place/credit_allocator.h"
#include "place/random_source.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdlib>
#include <deque>
#include <map>
#include <random>
#include <string>

using namespace teaselward;

namespace
{

constexpr std::uint32_t Slots = 8;

std::int32_t deltaFor(const std::vector<credit_grant> &grants, std::uint64_t entry)
{
    std::int32_t sum = 0;
    for (const credit_grant &grant : grants) {
        sum += grant.entry.value == entry ? grant.delta : 0;
    }
    return sum;
}

/** Simulated entry with its credits and the messages in transit in both directions. */
struct peer {
    std::int32_t credits = 0;
    std::deque<int> starts; ///< Sent to the agent.
    std::deque<std::int32_t> deltas; ///< Sent to the entry.
    std::uint32_t running = 0;
    std::uint32_t held = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(credit_allocator_test)

// Guards against lost or duplicated credits when messages, joins and losses interleave in any order: with no message in transit
// and no running task, each entry holds what the agent has granted and can send tasks again.
BOOST_AUTO_TEST_CASE(creditsAreConservedUnderRandomInterleavings)
{
    const char *given = std::getenv("TEST_SEED");
    const std::uint64_t seed = given != nullptr ? std::stoull(given) : std::random_device()();
    BOOST_TEST_MESSAGE("TEST_SEED=" << seed);
    BOOST_TEST_CONTEXT("TEST_SEED=" << seed)
    for (const char *policy : {"shared", "equal"}) {
        random_source random(seed);
        credit_allocator allocator(Slots, policy);
        std::map<std::uint64_t, peer> peers;
        const auto deliver = [&](const std::vector<credit_grant> &grants) {
            for (const credit_grant &grant : grants) {
                peers[grant.entry.value].deltas.push_back(grant.delta);
            }
        };
        std::uint32_t running = 0;
        const auto runHeld = [&] {
            while (const auto entry = allocator.takeHeld()) {
                --peers[entry->value].held;
                ++peers[entry->value].running;
                ++running;
            }
        };
        for (std::uint64_t entry = 1; entry <= 3; ++entry) {
            peers[entry];
            deliver(allocator.join({entry}, {}));
        }
        for (int step = 0; step < 20000; ++step) {
            const std::uint64_t entry = 1 + random.below(3);
            peer &one = peers[entry];
            switch (random.below(6)) {
            case 0: // The entry uses a credit.
                if (one.credits > 0) {
                    --one.credits;
                    one.starts.push_back(step);
                }
                break;
            case 1: // A start arrives.
                if (!one.starts.empty()) {
                    one.starts.pop_front();
                    if (allocator.take({entry})) {
                        ++one.running;
                        ++running;
                    } else if (random.below(8) > 0 && allocator.hold({entry})) {
                        ++one.held;
                    }
                }
                break;
            case 2: // A change of credits arrives.
                if (!one.deltas.empty()) {
                    one.credits += one.deltas.front();
                    one.deltas.pop_front();
                }
                break;
            case 3: // A task ends.
                if (one.running > 0) {
                    --one.running;
                    --running;
                    deliver(allocator.release({entry}, {}));
                    runHeld();
                }
                break;
            case 4: // A held start is refused.
                if (one.held > 0 && random.below(4) == 0) {
                    --one.held;
                    deliver(allocator.dropHeld({entry}, {}));
                    runHeld();
                }
                break;
            default: // The connection is lost with all messages in transit, and the entry registers again.
                if (random.below(50) == 0) {
                    for (; one.held > 0; --one.held) {
                        allocator.dropHeld({entry}, {});
                    }
                    deliver(allocator.leave({entry}, {}));
                    one.starts.clear();
                    one.deltas.clear();
                    one.credits = 0;
                    deliver(allocator.join({entry}, {}));
                }
                break;
            }
            BOOST_REQUIRE(running <= Slots);
        }
        for (auto &[entry, one] : peers) {
            for (; !one.starts.empty(); one.starts.pop_front()) {
                if (allocator.take({entry})) {
                    ++one.running;
                    ++running;
                } else if (allocator.hold({entry})) {
                    ++one.held;
                }
            }
        }
        for (int round = 0; round < 100 && running > 0; ++round) {
            for (auto &[entry, one] : peers) {
                for (; one.running > 0; --one.running, --running) {
                    deliver(allocator.release({entry}, {}));
                }
            }
            runHeld();
        }
        for (auto &[entry, one] : peers) {
            for (; !one.deltas.empty(); one.deltas.pop_front()) {
                one.credits += one.deltas.front();
            }
            BOOST_TEST(one.held == 0U);
            // Another task at the idle agent brings the entry exactly to the target, unless the counts differ.
            BOOST_TEST(allocator.take({entry}));
            one.credits += deltaFor(allocator.release({entry}, {}), entry) - 1;
            BOOST_TEST(one.credits == (std::string(policy) == "shared" ? 6 : 2));
        }
    }
}

// Guards against a start that is refused although a slot is free because a recall crossed it.
BOOST_AUTO_TEST_CASE(startThatARecallCrossesRunsIfASlotIsFree)
{
    credit_allocator allocator(4, "equal");
    BOOST_TEST(deltaFor(allocator.join({1}, {}), 1) == 4);
    const auto grants = allocator.join({2}, {});
    BOOST_TEST(deltaFor(grants, 1) == -2);
    BOOST_TEST(deltaFor(grants, 2) == 2);
    for (int i = 0; i < 4; ++i) { // All four were sent before the recall arrived.
        BOOST_TEST(allocator.take({1}));
    }
    BOOST_TEST(!allocator.take({2}));
    BOOST_TEST(allocator.hold({2}));
    BOOST_TEST(deltaFor(allocator.release({1}, {}), 1) == 2); // The entry's own count is -2 and becomes 0.
    BOOST_TEST((allocator.takeHeld() == entry_id{2}));
}

// Guards against an entry with many tasks that keeps the slots from one with few: held starts of the latter run first.
BOOST_AUTO_TEST_CASE(heldStartsRunInFairOrder)
{
    credit_allocator allocator(4);
    allocator.join({1}, {});
    allocator.join({2}, {});
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(allocator.take({1}));
    }
    BOOST_TEST((!allocator.take({1}) && allocator.hold({1})));
    BOOST_TEST((!allocator.take({2}) && allocator.hold({2})));
    BOOST_TEST(!allocator.takeHeld());
    allocator.release({1}, {});
    BOOST_TEST((allocator.takeHeld() == entry_id{2}));
    BOOST_TEST(!allocator.takeHeld());
}

// Guards against an entry whose only start was refused and which the agent then never contacts again.
BOOST_AUTO_TEST_CASE(refusedEntryGetsACreditAgain)
{
    credit_allocator allocator(2);
    allocator.join({1}, {});
    BOOST_TEST(allocator.take({1}));
    BOOST_TEST(allocator.take({1}));
    BOOST_TEST(deltaFor(allocator.join({2}, {}), 2) == 1);
    BOOST_TEST(!allocator.take({2}));
    BOOST_TEST(deltaFor(allocator.release({1}, {}), 2) == 1);
    BOOST_TEST(allocator.take({2}));
    BOOST_TEST(allocator.setDemand({2}, 5, {}).empty());
    BOOST_TEST(deltaFor(allocator.join({3}, {}), 3) == 1);
    BOOST_TEST(!allocator.take({3}));
    BOOST_TEST(deltaFor(allocator.setDemand({3}, 5, {}), 3) == 1);
}

// Guards against an unbounded number of held starts at one agent.
BOOST_AUTO_TEST_CASE(heldStartsAreBounded)
{
    credit_allocator allocator(2);
    allocator.join({1}, {});
    BOOST_TEST(allocator.take({1}));
    BOOST_TEST(allocator.take({1}));
    int held = 0;
    while (held < 100 && !allocator.take({1}) && allocator.hold({1})) {
        ++held;
    }
    BOOST_TEST(held == 4);
}

// Guards against an entry that gets no message from an agent and so never sends it work again.
BOOST_AUTO_TEST_CASE(idleEntryKeepsACredit)
{
    credit_allocator allocator(2);
    allocator.join({1}, {});
    BOOST_TEST(allocator.take({1}));
    BOOST_TEST(allocator.take({1}));
    for (std::uint64_t entry = 2; entry <= 20; ++entry) {
        BOOST_TEST(deltaFor(allocator.join({entry}, {}), entry) == 1);
    }
}

// Guards against more starts than slots in a flood through many entries, and against an entry that is never granted a slot
// again.
BOOST_AUTO_TEST_CASE(scarceCreditsFollowTheFreeSlots)
{
    credit_allocator allocator(2, "scarce");
    allocator.join({1}, {});
    BOOST_TEST(allocator.take({1}));
    BOOST_TEST(allocator.take({1}));
    for (std::uint64_t entry = 2; entry <= 20; ++entry) {
        BOOST_TEST(deltaFor(allocator.join({entry}, {}), entry) == (entry == 2 ? 1 : 0)); // Two entries share two slots.
    }
    const auto grants = allocator.release({1}, {});
    for (std::uint64_t entry = 3; entry <= 20; ++entry) {
        BOOST_TEST(deltaFor(grants, entry) == 1);
    }
}

// Guards against credits for slots that no longer exist, and against new slots that no entry learns of while nothing runs. An
// entry whose connection is lost must get no message.
BOOST_AUTO_TEST_CASE(changedSlotsAdjustAllCredits)
{
    credit_allocator allocator(8, "scarce", false);
    BOOST_TEST(deltaFor(allocator.join({1}, {}), 1) == 8);
    BOOST_TEST(deltaFor(allocator.join({2}, {}), 2) == 6);
    allocator.join({3}, {});
    BOOST_TEST(allocator.take({3}));
    allocator.leave({3}, {}); // Its task goes on.
    allocator.resize(1);
    const auto recalled = allocator.adjustAll({});
    BOOST_TEST(deltaFor(recalled, 1) == -8);
    BOOST_TEST(deltaFor(recalled, 2) == -6);
    BOOST_TEST(allocator.adjustAll({}).empty());
    allocator.resize(11);
    const auto granted = allocator.adjustAll({});
    BOOST_TEST(deltaFor(granted, 1) == 7);
    BOOST_TEST(deltaFor(granted, 2) == 7);
    BOOST_TEST(deltaFor(granted, 3) == 0);
}

// Guards against new work at an agent that is leaving.
BOOST_AUTO_TEST_CASE(leavingAgentGrantsAndStartsNothing)
{
    credit_allocator allocator(2);
    allocator.join({1}, {});
    BOOST_TEST(allocator.take({1}));
    allocator.close();
    BOOST_TEST(!allocator.take({1}));
    BOOST_TEST(!allocator.hold({1}));
    BOOST_TEST(allocator.release({1}, {}).empty());
    BOOST_TEST(allocator.join({2}, {}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
