#include "job/key_index.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

BOOST_AUTO_TEST_SUITE(key_index_test)

// Guards against jobs of different workspaces (teams) or kinds being joined because their concatenated names are equal.
BOOST_AUTO_TEST_CASE(keysBelongToTheirTeamAndKind)
{
    key_index index;
    index.add("a", "b", "c", 1);
    BOOST_TEST(index.find("a", "b", "c").value_or(0) == 1U);
    BOOST_TEST(!index.find("ab", "", "c").has_value());
    BOOST_TEST(!index.find("", "ab", "c").has_value());
    BOOST_TEST(!index.find("a", "", "bc").has_value());
}

// Guards against jobs without a key being joined to each other.
BOOST_AUTO_TEST_CASE(anEmptyKeyIsNoKey)
{
    key_index index;
    index.add("a", "b", "", 1);
    BOOST_TEST(!index.find("a", "b", "").has_value());
}

// Guards against a key that stays in the index after its job was removed.
BOOST_AUTO_TEST_CASE(aKeyIsRemovedWithItsJob)
{
    key_index index;
    index.add("a", "b", "c", 1);
    index.remove(2);
    BOOST_TEST(index.find("a", "b", "c").has_value());
    index.remove(1);
    BOOST_TEST(!index.find("a", "b", "c").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
