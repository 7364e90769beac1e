#include "config/config_merge.h"
#include "config/config_print.h"
#include "config/effective_rules.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

config_files filesOf(std::initializer_list<std::pair<const char *, const char *>> texts)
{
    config_files files;
    for (const auto &[name, text] : texts) {
        files[name].content = text;
    }
    return files;
}

std::string problemOf(const std::string &text)
{
    const auto problem = checkFile("a.ini", text);
    return problem ? problem->text() : "valid";
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_merge_test)

// Guards against a later file that removes keys that it does not contain, and against files that are not merged by name.
BOOST_AUTO_TEST_CASE(laterFilesReplaceSingleKeys)
{
    const auto files = filesOf({{"20.ini", "[kind a]\nweight = 3\n"}, {"10.ini", "[kind a]\nweight = 2\nfloor = 0.25\n[kind b]\n"}});
    const rule_set rules = effectiveRules(mergeFiles(files), {}, 7);
    BOOST_TEST(rules.offset == 7U);
    BOOST_TEST(rules.kinds.size() == 2U);
    BOOST_TEST(rules.kinds.at("a").weight == 3);
    BOOST_TEST(rules.kinds.at("a").floor == 0.25);
    BOOST_TEST(rules.kinds.at("b").weight == 1);
}

// Guards against kinds that do not inherit the values of their service, or that are invalid because it is undefined.
BOOST_AUTO_TEST_CASE(kindsInheritFromTheirService)
{
    const auto files = filesOf({{"a", "[service s]\nweight = 4\ntime_limit = 2s\nidempotent = yes\n[kind k]\nservice = s\ntime_limit = 300ms\n"},
                                {"b", "[kind lone]\nservice = gone\n"}});
    const config_model model = mergeFiles(files);
    const rule_set rules = effectiveRules(model, {}, 1);
    BOOST_TEST(rules.kinds.at("k").weight == 4);
    BOOST_TEST(rules.kinds.at("k").idempotent);
    BOOST_TEST((rules.kinds.at("k").timeLimit == 300ms));
    BOOST_TEST(rules.kinds.at("lone").weight == 1);
    BOOST_TEST(danglingReferences(model).size() == 1U);
}

// Guards against floors in several files that add up to more than all slots.
BOOST_AUTO_TEST_CASE(floorsNeverExceedAllSlots)
{
    const auto files = filesOf({{"a", "[kind a]\nfloor = 0.9\n"}, {"b", "[kind b]\nfloor = 0.6\n"}});
    const rule_set rules = effectiveRules(mergeFiles(files), {}, 1);
    BOOST_TEST(rules.kinds.at("a").floor == 0.6, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(rules.kinds.at("b").floor == 0.4, boost::test_tools::tolerance(1e-9));
}

// Guards against errors without a file, line and key, and against out-of-range values that are accepted.
BOOST_AUTO_TEST_CASE(problemsNameFileLineAndKey)
{
    BOOST_TEST(problemOf("[kind a]\n\n# comment\nweight = 0\n") == "a.ini:4: weight: must be a number from 0.01 to 1000");
    BOOST_TEST(problemOf("[kind a]\nwieght = 2\n") == "a.ini:2: wieght: unknown key");
    BOOST_TEST(problemOf("[kin a]\n") == "a.ini:1: [kin a]: unknown section type; known types are service kind team zone peak");
    BOOST_TEST(problemOf("weight = 1\n") == "a.ini:1: weight: the key is outside of a section");
    BOOST_TEST(problemOf("[kind a]\nweight = 1\nweight = 2\n") == "a.ini:3: weight: the key is repeated in this section");
    BOOST_TEST(problemOf("[kind a]\n[kind a]\n") == "a.ini:2: [kind a]: the section is repeated in this file");
    for (const char *line : {"weight = 1e3",
                             "weight = -1",
                             "weight = nan",
                             "weight =",
                             "floor = 1.01",
                             "idempotent = true",
                             "time_limit = 5",
                             "time_limit = 9ms",
                             "time_limit = 2h",
                             "queue_limit = 0",
                             "task_limit = 1.5",
                             "service = a b",
                             "weight",
                             "= 1"}) {
        BOOST_TEST(problemOf("[kind a]\n" + std::string(line)).starts_with("a.ini:2: "), line);
    }
    for (const char *line : {"from = 24:00", "from = 8:00", "to = 00:00", "to = 24:01", "days = monday", "days = mon-tue-wed", "kinds = a,,b", "kinds ="}) {
        BOOST_TEST(problemOf("[peak a]\n" + std::string(line)).starts_with("a.ini:2: "), line);
    }
    for (const char *line : {"offset = 1:00",
                             "offset = +19:00",
                             "offset = none",
                             "2027-02-29T00:00Z = +01:00",
                             "2027-03-28 01:00 = +01:00",
                             "2027-03-28T01:00Z = 60",
                             "2027-03-28T24:00Z = +01:00"}) {
        BOOST_TEST(problemOf("[zone a]\n" + std::string(line)).starts_with("a.ini:2: "), line);
    }
    for (const char *header : {"[kind]", "[kind a b]", "[kind a", "[kind a/b]", "[]"}) {
        BOOST_TEST(problemOf(header).starts_with("a.ini:1: "), header);
    }
    BOOST_TEST(checkFile("../a", "").has_value());
    BOOST_TEST(checkFile(".hidden", "").has_value());
    BOOST_TEST(problemOf("[kind a]\n# \xc3\x28\n") == "a.ini: the file is not UTF-8 text or contains control characters");
    BOOST_TEST(!problemOf("# \x01\n").starts_with("valid"));
    BOOST_TEST(problemOf(std::string(70000, '#')) == "a.ini: the file has more than 65536 bytes");
}

// Guards against 'check' output that differs from the rules that would be active.
BOOST_AUTO_TEST_CASE(printedSectionsParseToTheSame)
{
    const std::string text = "[service s]\ndescription = Bead batches; first floor\nweight = 2.5\nidempotent = no\n\n"
                             "[kind k]\nservice = s\nfloor = 0.125\ntime_limit = 1500ms\nqueue_limit = 10\ntask_limit = 5\n\n"
                             "[team t]\nweight = 3\nquota = 0\n\n"
                             "[zone z]\noffset = -03:30\n2027-03-28T01:00:00Z = +02:00\n2027-10-31T01:00:00Z = none\n\n"
                             "[peak p]\nzone = z\nfrom = 07:30\nto = 24:00\ndays = sun, sat\nkinds = k, other\nweight = 8\n";
    config_model model;
    BOOST_REQUIRE(!mergeFile("a", text, model));
    BOOST_TEST(printModel(model) == text);
}

BOOST_AUTO_TEST_SUITE_END()
