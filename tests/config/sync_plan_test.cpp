#include "config/sync_plan.h"
#include "config/sync_state.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

namespace
{

const std::string Old = "old";
const std::string New = "new";
const synced_file Synced{.version = 3, .hash = contentHash(Old)};
const config_file RemoteOld{.content = Old, .version = 3, .author = "a"};
const config_file RemoteNew{.content = New, .version = 5, .author = "a"};

} // namespace

BOOST_AUTO_TEST_SUITE(sync_plan_test)

// Guards against an outdated folder that undoes the changes of other operators or removes their files.
BOOST_AUTO_TEST_CASE(onlyEditsOfTheFolderArePublished)
{
    BOOST_TEST((planSync(&Old, &Synced, &RemoteOld) == sync_action::none));
    BOOST_TEST((planSync(&New, &Synced, &RemoteOld) == sync_action::publish));
    BOOST_TEST((planSync(nullptr, &Synced, &RemoteOld) == sync_action::publish));
    BOOST_TEST((planSync(&Old, nullptr, nullptr) == sync_action::publish));
    BOOST_TEST((planSync(&Old, &Synced, &RemoteNew) == sync_action::fetch));
    BOOST_TEST((planSync(&Old, &Synced, nullptr) == sync_action::fetch));
    BOOST_TEST((planSync(nullptr, nullptr, &RemoteNew) == sync_action::fetch));
}

// Guards against one of two conflicting edits that is lost without a report.
BOOST_AUTO_TEST_CASE(differentEditsOfBothSidesConflict)
{
    const std::string other = "other";
    BOOST_TEST((planSync(&other, &Synced, &RemoteNew) == sync_action::conflict));
    BOOST_TEST((planSync(nullptr, &Synced, &RemoteNew) == sync_action::conflict));
    BOOST_TEST((planSync(&New, &Synced, nullptr) == sync_action::conflict));
    BOOST_TEST((planSync(&Old, nullptr, &RemoteNew) == sync_action::conflict));
    BOOST_TEST((planSync(&New, &Synced, &RemoteNew) == sync_action::recordVersion));
    BOOST_TEST((planSync(nullptr, &Synced, nullptr) == sync_action::recordVersion));
}

// Guards against a damaged state file that is taken for an empty one.
BOOST_AUTO_TEST_CASE(theStateSurvivesItsEncoding)
{
    const auto decoded = decodeSyncState(encodeSyncState({{"a", Synced}}));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->at("a").version == 3U);
    BOOST_TEST(decoded->at("a").hash == Synced.hash);
    BOOST_TEST(!decodeSyncState("{\"a\":").has_value());
    BOOST_TEST(!decodeSyncState("[1]").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
