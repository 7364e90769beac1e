#include "cli/load_plan.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace teaselward;

namespace
{

load_settings sampleSettings()
{
    load_settings settings;
    settings.rate = 100;
    settings.tasksMin = 1;
    settings.tasksMax = 20;
    settings.runTimeMin = std::chrono::milliseconds(50);
    settings.runTimeMedian = std::chrono::milliseconds(200);
    settings.runTimeMax = std::chrono::milliseconds(5000);
    settings.runTimeSigma = 0.7;
    return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_plan_test)

// Guards against two runs with the same seed that send different jobs, so that their results could not be compared.
BOOST_AUTO_TEST_CASE(dependsOnTheSettingsOnly)
{
    const load_settings settings = sampleSettings();
    load_plan first(settings);
    load_plan second(settings);
    for (int i = 0; i < 1000; ++i) {
        const load_job one = first.next();
        const load_job other = second.next();
        BOOST_TEST((one.arrival == other.arrival));
        BOOST_TEST((one.payloads == other.payloads));
    }
}

// Guards against a load whose rate, job sizes or run times differ from the settings.
BOOST_AUTO_TEST_CASE(keepsToTheSettings)
{
    const load_settings settings = sampleSettings();
    load_plan plan(settings);
    constexpr int count = 20000;
    std::set<std::size_t> sizes;
    std::vector<int> runTimes;
    load_job last;
    for (int i = 0; i < count; ++i) {
        load_job job = plan.next();
        BOOST_REQUIRE((job.arrival >= last.arrival));
        sizes.insert(job.payloads.size());
        int longest = 0;
        for (const std::string &payload : job.payloads) {
            runTimes.push_back(std::stoi(payload));
            longest = std::max(longest, runTimes.back());
        }
        BOOST_TEST(longest == job.longest.count());
        last = std::move(job);
    }
    BOOST_TEST(std::chrono::duration<double>(last.arrival).count() == count / settings.rate, boost::test_tools::tolerance(0.05));
    BOOST_TEST(*sizes.begin() == 1);
    BOOST_TEST(*sizes.rbegin() == 20);
    std::sort(runTimes.begin(), runTimes.end());
    BOOST_TEST(runTimes.front() >= 50);
    BOOST_TEST(runTimes.back() <= 5000);
    BOOST_TEST(runTimes[runTimes.size() / 2] == 200.0, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_SUITE_END()
