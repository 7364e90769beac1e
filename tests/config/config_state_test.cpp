#include "config/config_limits.h"
#include "config/config_state.h"
#include "config/record_codec.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace teaselward;

namespace
{

change_record change(const std::string &file, std::optional<std::string> content, std::uint64_t base, const std::string &id)
{
    return {.file = file, .content = std::move(content), .baseVersion = base, .appendId = id, .author = "op-" + id};
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_state_test)

// Guards against an operator who overwrites a change without having seen it.
BOOST_AUTO_TEST_CASE(theLoserOfARaceGetsAConflict)
{
    config_state state;
    BOOST_TEST((state.apply(1, change("a", "[kind x]\n", 0, "1")).outcome == change_outcome::accepted));
    BOOST_TEST((state.apply(2, change("a", "[kind y]\n", 1, "2")).outcome == change_outcome::accepted));
    const change_result late = state.apply(3, change("a", "[kind z]\n", 1, "3"));
    BOOST_TEST((late.outcome == change_outcome::conflict));
    BOOST_TEST(late.currentVersion == 2U);
    BOOST_TEST(late.currentAuthor == "op-2");
    BOOST_TEST((state.apply(4, change("a", std::nullopt, 2, "4")).outcome == change_outcome::accepted));
    BOOST_TEST((state.apply(5, change("a", "[kind z]\n", 2, "5")).outcome == change_outcome::conflict));
    BOOST_TEST((state.apply(6, change("a", "[kind z]\n", 0, "6")).outcome == change_outcome::accepted));
    BOOST_TEST(state.files().at("a").version == 6U);
}

// Guards against a result that depends on the order of changes of different files.
BOOST_AUTO_TEST_CASE(editsOfDifferentFilesCommute)
{
    config_state left;
    config_state right;
    left.apply(1, change("a", "[kind k]\nweight = 2\n", 0, "1"));
    left.apply(2, change("b", "[kind k]\nweight = 3\n", 0, "2"));
    right.apply(1, change("b", "[kind k]\nweight = 3\n", 0, "2"));
    right.apply(2, change("a", "[kind k]\nweight = 2\n", 0, "1"));
    for (const char *name : {"a", "b"}) {
        BOOST_TEST(left.files().at(name).content == right.files().at(name).content);
    }
}

// Guards against a change that takes effect twice because its append was retried after a lost answer, also if it was rejected first.
BOOST_AUTO_TEST_CASE(aRepeatedIdIsIgnored)
{
    config_state state;
    state.apply(1, change("a", "[kind x]\n", 0, "1"));
    state.apply(2, change("a", std::nullopt, 1, "2"));
    BOOST_TEST((state.apply(3, change("a", "[kind x]\n", 0, "1")).outcome == change_outcome::repeated));
    BOOST_TEST(state.files().empty());
    BOOST_TEST((state.apply(4, change("b", "[kind x]\n", 5, "3")).outcome == change_outcome::conflict));
    BOOST_TEST((state.apply(5, change("b", "[kind x]\n", 0, "4")).outcome == change_outcome::accepted));
    BOOST_TEST((state.apply(6, change("b", "[kind y]\n", 5, "3")).outcome == change_outcome::repeated));
    for (std::size_t i = 0; i < RecentIdLimit; ++i) {
        state.apply(100 + i, change("c", "[", 0, "many" + std::to_string(i)));
    }
    BOOST_TEST(state.snapshot().recentIds.size() == RecentIdLimit);
}

// Guards against an invalid file that removes its valid predecessor or other files.
BOOST_AUTO_TEST_CASE(anInvalidFileChangesNothing)
{
    config_state state;
    state.apply(1, change("a", "[kind x]\nweight = 2\n", 0, "1"));
    const change_result result = state.apply(2, change("a", "[kind x]\nweight = 3\nfloor = 2\n", 1, "2"));
    BOOST_TEST((result.outcome == change_outcome::invalid));
    BOOST_TEST(result.problem.value().text() == "a:3: floor: must be a number from 0 to 1");
    BOOST_TEST(state.files().at("a").version == 1U);
    BOOST_TEST((state.apply(3, change("../a", "", 0, "3")).outcome == change_outcome::invalid));
    BOOST_TEST((state.apply(4, change("b", "", 0, "")).outcome == change_outcome::invalid));
}

// Guards against a configuration that fills the memory of every process. The total size is limited; removals free space again.
BOOST_AUTO_TEST_CASE(theTotalSizeIsLimited)
{
    config_state state;
    std::string big(FileSizeLimit, '"'); // Its length doubles in JSON.
    big.front() = '#';
    std::uint64_t offset = 0;
    for (std::size_t i = 0; i < TotalSizeLimit / FileSizeLimit; ++i) {
        ++offset;
        BOOST_REQUIRE((state.apply(offset, change("f" + std::to_string(i), big, 0, std::to_string(i))).outcome == change_outcome::accepted));
    }
    BOOST_TEST((state.apply(50, change("g", "#", 0, "x")).outcome == change_outcome::invalid));
    BOOST_TEST((state.apply(51, change("f0", std::nullopt, 1, "y")).outcome == change_outcome::accepted));
    BOOST_TEST((state.apply(52, change("g", "#", 0, "z")).outcome == change_outcome::accepted));
    BOOST_TEST(encodeRecord(state.snapshot()).size() < std::size_t{3} << 20);
}

// Guards against a reader that returns to an older state, and against a snapshot that loses versions or append ids.
BOOST_AUTO_TEST_CASE(aSnapshotContinuesTheStateAndNeverGoesBack)
{
    config_state state;
    state.apply(1, change("a", "[kind \xc3\xa9]\n", 0, "0"));
    state.apply(2, change("a", "[kind x]\n# \xc3\xa9\n", 0, "1"));
    const auto decoded = decodeRecord(encodeRecord(state.snapshot()));
    BOOST_REQUIRE(decoded.has_value());
    const auto &snapshot = std::get<snapshot_record>(*decoded);
    config_state other;
    BOOST_TEST(other.adopt(snapshot));
    BOOST_TEST(!other.adopt(snapshot));
    BOOST_TEST((other.apply(2, change("b", "", 0, "7")).outcome == change_outcome::ignored));
    BOOST_TEST((other.apply(3, change("a", "", 0, "1")).outcome == change_outcome::repeated));
    BOOST_TEST((other.apply(4, change("a", std::nullopt, 2, "2")).outcome == change_outcome::accepted));
    BOOST_TEST(!other.adopt(snapshot));
    BOOST_TEST(other.offset() == 4U);
}

// Guards against a foreign record that ends the process or is taken for a change.
BOOST_AUTO_TEST_CASE(foreignRecordsAreNotDecoded)
{
    for (const char *text : {"",
                             "{",
                             "[]",
                             "{}",
                             "null",
                             R"({"type":"change"})",
                             R"({"type":"change","file":1,"content":null,"base":0,"id":"i","author":"a"})",
                             R"({"type":"change","file":"a","content":null,"base":"x","id":"i","author":"a"})",
                             R"({"type":"snapshot","covers":1,"files":{"a":1},"ids":[]})",
                             R"({"type":"other"})"}) {
        BOOST_TEST(!decodeRecord(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
