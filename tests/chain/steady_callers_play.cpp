#include "chain/steady_callers_play.h"

#include "chain/chain_simulation.h"
#include "chain/steady_callers.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

namespace teaselward
{

namespace
{

using namespace std::chrono_literals;

// Returns the number that an environment variable gives; zero if it is not set.
std::uint32_t numberOf(const char *variable)
{
    const char *given = std::getenv(variable);
    return given != nullptr ? static_cast<std::uint32_t>(std::stoul(given)) : 0;
}

} // namespace

void playWithSteadyCallers(const chain_faults &faults, seed_range seeds, const site_size &site)
{
    if (const std::uint32_t last = numberOf("CHAIN_SEEDS"); last > 0) {
        seeds = {.first = 1, .last = last};
    }
    const std::uint32_t traced = numberOf("CHAIN_TRACE");
    if (traced > 0) {
        seeds = {.first = traced, .last = traced};
    }
    std::size_t broken = 0;
    std::size_t jobs = 0;
    std::size_t complete = 0;
    std::size_t runs = 0;
    for (std::uint32_t seed = seeds.first; seed <= seeds.last; ++seed) {
        chain_simulation simulation(seed, faults, steadyCallers(site), site, traced > 0 ? &std::cout : nullptr);
        simulation.run(20s);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(simulation.overlaps().empty());
            BOOST_TEST(simulation.resubmissions() == 0U);
            for (const std::string &overlap : simulation.overlaps()) {
                BOOST_TEST_MESSAGE("seed " << seed << ": " << overlap);
            }
        }
        broken += simulation.overlaps().empty() ? 0 : 1;
        jobs += simulation.jobs();
        complete += simulation.completeJobs();
        runs += simulation.runs();
    }
    BOOST_TEST_MESSAGE("seeds " << seeds.first << " to " << seeds.last << " broken " << broken << " jobs " << jobs << " complete " << complete << " runs "
                                << runs);
    BOOST_TEST(complete > jobs / 2);
}

} // namespace teaselward
