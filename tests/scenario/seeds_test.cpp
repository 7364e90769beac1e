#include "scenario/scenario_script.h"
#include "scenario/script_error.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward::testing;

BOOST_AUTO_TEST_SUITE(seeds_test)

// Guards against interleavings of failures that no single scenario covers. An error message names the seed, which replays the run.
BOOST_AUTO_TEST_CASE(mixedFailuresKeepTheInvariants)
{
    constexpr std::uint64_t seeds = 1000;
    std::size_t starts = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        scenario_script script(seed);
        try {
            script.run(TEASELWARD_SOURCE_DIR "/tests/seeds/mixed_failures.lua");
        } catch (const script_error &error) {
            BOOST_ERROR(error.what());
        }
        starts += script.starts();
    }
    BOOST_TEST_MESSAGE(seeds << " seeds, " << starts << " starts");
    BOOST_TEST(starts > seeds);
}

BOOST_AUTO_TEST_SUITE_END()
