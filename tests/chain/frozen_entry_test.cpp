#include "chain/chain_simulation.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace teaselward;

namespace
{

constexpr std::size_t Rounds = 5;

// Plays a number of seeds without any fault but the freezes. FREEZE_SEEDS sets a longer run by hand.
void playSeeds(const freeze_pattern &pattern)
{
    std::uint32_t seeds = 40;
    if (const char *given = std::getenv("FREEZE_SEEDS"); given != nullptr) {
        seeds = static_cast<std::uint32_t>(std::stoul(given));
    }
    std::size_t broken = 0;
    std::size_t resubmissions = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        chain_simulation simulation(seed, {});
        simulation.freezeEntries(pattern, Rounds);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(simulation.overlaps().empty());
            BOOST_TEST(simulation.completeJobs() == simulation.jobs());
        }
        broken += simulation.overlaps().empty() ? 0 : 1;
        resubmissions += simulation.resubmissions();
    }
    BOOST_TEST_MESSAGE("seeds " << seeds << " broken " << broken << " resubmissions " << resubmissions);
    BOOST_TEST(resubmissions > seeds * Rounds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(frozen_entry_test)

// Guards against a second run of a task from a submission that waited in a socket while an entry without outstanding starts was frozen.
BOOST_AUTO_TEST_CASE(anIdleEntryStartsNothingForCallersThatLeft)
{
    playSeeds({});
}

// Guards against the same at an entry whose outstanding starts reveal the pause.
BOOST_AUTO_TEST_CASE(aLoadedEntryStartsNothingForCallersThatLeft)
{
    playSeeds({.isLoaded = true});
}

// Guards against a submission that the listener reads only after the decisions have stopped waiting for the check of the connections.
BOOST_AUTO_TEST_CASE(aLateListenerStartsNothingForCallersThatLeft)
{
    playSeeds({.isListenerLate = true});
    playSeeds({.isLoaded = true, .isListenerLate = true});
}

// Guards against a start that waits in the ring of the RPC thread until its caller has left.
BOOST_AUTO_TEST_CASE(aLateRpcThreadStartsNothingForCallersThatLeft)
{
    playSeeds({.isRpcLate = true});
    playSeeds({.isLoaded = true, .isRpcLate = true});
}

BOOST_AUTO_TEST_SUITE_END()
