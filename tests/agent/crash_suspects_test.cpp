#include "agent/crash_suspects.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(crash_suspects_test)

// Guards against a kind that is counted for each of its runs, and against a report whose order depends on a hash table.
BOOST_AUTO_TEST_CASE(namesEachKindOnceInOrder)
{
    crash_suspects suspects;
    suspects.add("lookup", 30ms, std::nullopt);
    suspects.add("check", 12ms, std::nullopt);
    suspects.add("lookup", 400ms, std::nullopt);
    const std::vector<crash_suspect> kinds = suspects.list();
    BOOST_REQUIRE(kinds.size() == 2U);
    BOOST_TEST(kinds[0].kind == "check");
    BOOST_TEST(kinds[1].kind == "lookup");
    BOOST_TEST(suspects.runs() == 3U);
    BOOST_TEST((suspects.youngestAge() == 12ms));
}

// Guards against a kind that is cleared by its harmless runs beside the one that crashes endpoints, and against one that is blamed
// for a run that was lost twice by chance.
BOOST_AUTO_TEST_CASE(aKindIsRepeatedIfOneOfItsTasksCrashedAtTheSameAge)
{
    crash_suspects suspects;
    suspects.add("check", 300ms, std::nullopt);
    suspects.add("check", 12ms, 14ms);
    suspects.add("check", 700ms, 90ms);
    suspects.add("lookup", 12ms, 500ms);
    const std::vector<crash_suspect> kinds = suspects.list();
    BOOST_REQUIRE(kinds.size() == 2U);
    BOOST_TEST(kinds[0].isRepeated);
    BOOST_TEST(!kinds[1].isRepeated);
}

// Guards against a second kind that is blamed because its run was lost beside the deadly one and was started beside it again.
BOOST_AUTO_TEST_CASE(onlyTheClosestAgeIsRepeated)
{
    crash_suspects suspects;
    suspects.add("check", 13ms, 24ms);
    suspects.add("lookup", 13ms, 12ms);
    suspects.add("order", 15ms, 30ms);
    const std::vector<crash_suspect> kinds = suspects.list();
    BOOST_REQUIRE(kinds.size() == 3U);
    BOOST_TEST(!kinds[0].isRepeated);
    BOOST_TEST(kinds[1].isRepeated);
    BOOST_TEST(!kinds[2].isRepeated);
}

// Guards against an undefined age if no run had started.
BOOST_AUTO_TEST_CASE(isEmptyWithoutARun)
{
    const crash_suspects suspects;
    BOOST_TEST(suspects.list().empty());
    BOOST_TEST(suspects.runs() == 0U);
    BOOST_TEST((suspects.youngestAge() == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()
