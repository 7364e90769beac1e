#include "scenario/scenario_script.h"
#include "scenario/script_error.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <vector>

using namespace teaselward::testing;

namespace
{

constexpr std::uint64_t Seed = 1;

std::vector<std::string> scriptNames()
{
    std::vector<std::string> names;
    for (const auto &file : std::filesystem::directory_iterator(TEASELWARD_SOURCE_DIR "/tests/scenarios")) {
        if (file.path().extension() == ".lua") {
            names.push_back(file.path().stem().string());
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(scenarios_test)

// Runs each script in tests/scenarios. The first line of a script names the failure that it guards against.
BOOST_DATA_TEST_CASE(scenario, boost::unit_test::data::make(scriptNames()), name)
{
    scenario_script script(Seed);
    try {
        script.run(TEASELWARD_SOURCE_DIR "/tests/scenarios/" + name + ".lua");
    } catch (const script_error &error) {
        BOOST_ERROR(error.what());
    }
    BOOST_TEST(script.starts() > 0);
}

BOOST_AUTO_TEST_SUITE_END()
