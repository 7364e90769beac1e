#include "config/config_fold.h"
#include "config/config_limits.h"
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

BOOST_AUTO_TEST_SUITE(config_fold_test)

// Guards against an operator who overwrites a change that he has not seen.
BOOST_AUTO_TEST_CASE(theLoserOfARaceGetsAConflict)
{
    config_fold fold;
    BOOST_TEST((fold.apply(1, change("a", "[kind x]\n", 0, "1")).outcome == fold_outcome::accepted));
    BOOST_TEST((fold.apply(2, change("a", "[kind y]\n", 1, "2")).outcome == fold_outcome::accepted));
    const fold_result late = fold.apply(3, change("a", "[kind z]\n", 1, "3"));
    BOOST_TEST((late.outcome == fold_outcome::conflict));
    BOOST_TEST(late.currentVersion == 2U);
    BOOST_TEST(late.currentAuthor == "op-2");
    BOOST_TEST((fold.apply(4, change("a", std::nullopt, 2, "4")).outcome == fold_outcome::accepted));
    BOOST_TEST((fold.apply(5, change("a", "[kind z]\n", 2, "5")).outcome == fold_outcome::conflict));
    BOOST_TEST((fold.apply(6, change("a", "[kind z]\n", 0, "6")).outcome == fold_outcome::accepted));
    BOOST_TEST(fold.files().at("a").version == 6U);
}

// Guards against a result that depends on which of two operators is first although they edit different files.
BOOST_AUTO_TEST_CASE(editsOfDifferentFilesCommute)
{
    config_fold left;
    config_fold right;
    left.apply(1, change("a", "[kind k]\nweight = 2\n", 0, "1"));
    left.apply(2, change("b", "[kind k]\nweight = 3\n", 0, "2"));
    right.apply(1, change("b", "[kind k]\nweight = 3\n", 0, "2"));
    right.apply(2, change("a", "[kind k]\nweight = 2\n", 0, "1"));
    for (const char *name : {"a", "b"}) {
        BOOST_TEST(left.files().at(name).content == right.files().at(name).content);
    }
}

// Guards against an append that takes effect twice after its answer was lost, also when the first was rejected.
BOOST_AUTO_TEST_CASE(aRepeatedIdIsIgnored)
{
    config_fold fold;
    fold.apply(1, change("a", "[kind x]\n", 0, "1"));
    fold.apply(2, change("a", std::nullopt, 1, "2"));
    BOOST_TEST((fold.apply(3, change("a", "[kind x]\n", 0, "1")).outcome == fold_outcome::repeated));
    BOOST_TEST(fold.files().empty());
    BOOST_TEST((fold.apply(4, change("b", "[kind x]\n", 5, "3")).outcome == fold_outcome::conflict));
    BOOST_TEST((fold.apply(5, change("b", "[kind x]\n", 0, "4")).outcome == fold_outcome::accepted));
    BOOST_TEST((fold.apply(6, change("b", "[kind y]\n", 5, "3")).outcome == fold_outcome::repeated));
    for (std::size_t i = 0; i < RecentIdLimit; ++i) {
        fold.apply(100 + i, change("c", "[", 0, "many" + std::to_string(i)));
    }
    BOOST_TEST(fold.snapshot().recentIds.size() == RecentIdLimit);
}

// Guards against a broken file that takes away the valid one before it, or the other files.
BOOST_AUTO_TEST_CASE(anInvalidFileChangesNothing)
{
    config_fold fold;
    fold.apply(1, change("a", "[kind x]\nweight = 2\n", 0, "1"));
    const fold_result result = fold.apply(2, change("a", "[kind x]\nweight = 3\nfloor = 2\n", 1, "2"));
    BOOST_TEST((result.outcome == fold_outcome::invalid));
    BOOST_TEST(result.problem.value().text() == "a:3: floor: must be a number from 0 to 1");
    BOOST_TEST(fold.files().at("a").version == 1U);
    BOOST_TEST((fold.apply(3, change("../a", "", 0, "3")).outcome == fold_outcome::invalid));
    BOOST_TEST((fold.apply(4, change("b", "", 0, "")).outcome == fold_outcome::invalid));
}

// Guards against operators who fill the memory of every process: the whole has a limit, and removals make room again.
BOOST_AUTO_TEST_CASE(theWholeHasALimit)
{
    config_fold fold;
    std::string big(FileSizeLimit, '"'); // JSON doubles its length.
    big.front() = '#';
    std::uint64_t offset = 0;
    for (std::size_t i = 0; i < TotalSizeLimit / FileSizeLimit; ++i) {
        ++offset;
        BOOST_REQUIRE((fold.apply(offset, change("f" + std::to_string(i), big, 0, std::to_string(i))).outcome == fold_outcome::accepted));
    }
    BOOST_TEST((fold.apply(50, change("g", "#", 0, "x")).outcome == fold_outcome::invalid));
    BOOST_TEST((fold.apply(51, change("f0", std::nullopt, 1, "y")).outcome == fold_outcome::accepted));
    BOOST_TEST((fold.apply(52, change("g", "#", 0, "z")).outcome == fold_outcome::accepted));
    BOOST_TEST(encodeRecord(fold.snapshot()).size() < std::size_t{3} << 20);
}

// Guards against a reader that goes back, and against a snapshot that loses versions or ids.
BOOST_AUTO_TEST_CASE(aSnapshotContinuesTheFoldAndNeverGoesBack)
{
    config_fold fold;
    fold.apply(1, change("a", "[kind \xc3\xa9]\n", 0, "0"));
    fold.apply(2, change("a", "[kind x]\n# \xc3\xa9\n", 0, "1"));
    const auto decoded = decodeRecord(encodeRecord(fold.snapshot()));
    BOOST_REQUIRE(decoded.has_value());
    const auto &snapshot = std::get<snapshot_record>(*decoded);
    config_fold other;
    BOOST_TEST(other.adopt(snapshot));
    BOOST_TEST(!other.adopt(snapshot));
    BOOST_TEST((other.apply(2, change("b", "", 0, "7")).outcome == fold_outcome::ignored));
    BOOST_TEST((other.apply(3, change("a", "", 0, "1")).outcome == fold_outcome::repeated));
    BOOST_TEST((other.apply(4, change("a", std::nullopt, 2, "2")).outcome == fold_outcome::accepted));
    BOOST_TEST(!other.adopt(snapshot));
    BOOST_TEST(other.offset() == 4U);
}

// Guards against a foreign record that ends the process or is read as a change.
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
