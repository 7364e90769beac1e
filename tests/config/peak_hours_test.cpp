#include "config/config_merge.h"
#include "config/effective_rules.h"
#include "config/peak_hours.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace teaselward;
using namespace std::chrono;
using namespace std::chrono_literals;

namespace
{

// The clock goes forward on 28 March 2027 at 02:00 and back on 31 October at 03:00 local time.
constexpr const char *Zone = "[zone z]\noffset = +01:00\n2027-03-28T01:00Z = +02:00\n2027-10-31T01:00Z = +01:00\n";
constexpr sys_days Forward = 2027y / March / 28;
constexpr sys_days Back = 2027y / October / 31;

config_model modelOf(const std::string &peak, const std::string &zone = Zone)
{
    config_model model;
    BOOST_REQUIRE(!mergeFile("a", zone + "[peak p]\nzone = z\n" + peak, model));
    return model;
}

bool isOn(const config_model &model, wall_time utc)
{
    return isActive(model.peaks.at("p"), model, utc);
}

// Counts the minutes of a UTC interval in which the peak is active. Checks that it begins and ends only at the announced boundaries.
minutes countMinutes(const config_model &model, wall_time from, wall_time to)
{
    minutes count{0};
    bool wasOn = isOn(model, from);
    auto boundary = nextRuleChange(model, from);
    for (wall_time utc = from; utc < to; utc += 1min) {
        const bool on = isOn(model, utc);
        BOOST_TEST((on == wasOn || utc == boundary));
        if (boundary && utc >= *boundary) {
            boundary = nextRuleChange(model, utc);
        }
        wasOn = on;
        count += on ? 1min : 0min;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peak_hours_test)

// Guards against a peak in the skipped hour that is moved to another hour, and a peak across it that keeps its nominal length.
BOOST_AUTO_TEST_CASE(aSkippedHourDoesNotOccur)
{
    BOOST_TEST((countMinutes(modelOf("from = 02:00\nto = 03:00\n"), Forward - 12h, Forward + 12h) == 0min));
    BOOST_TEST((countMinutes(modelOf("from = 02:30\nto = 05:00\n"), Forward - 12h, Forward + 12h) == 2h));
    BOOST_TEST(isOn(modelOf("from = 02:30\nto = 05:00\n"), Forward + 1h));
    BOOST_TEST(!isOn(modelOf("from = 02:30\nto = 05:00\n"), Forward + 1h - 1min));
}

// Guards against a peak in the repeated hour that is active only once.
BOOST_AUTO_TEST_CASE(aRepeatedHourOccursTwice)
{
    BOOST_TEST((countMinutes(modelOf("from = 02:00\nto = 03:00\n"), Back - 12h, Back + 12h) == 2h));
    BOOST_TEST((countMinutes(modelOf("from = 02:15\nto = 02:45\n"), Back - 12h, Back + 12h) == 1h));
    BOOST_TEST((countMinutes(modelOf("from = 01:00\nto = 04:00\n"), Back - 12h, Back + 12h) == 4h));
}

// Guards against a peak across midnight that ends at midnight or is active on the wrong day.
BOOST_AUTO_TEST_CASE(aPeakOverMidnightBelongsToTheDayOnWhichItBegins)
{
    const config_model model = modelOf("from = 22:00\nto = 02:00\ndays = fri\n");
    const sys_days friday = 2027y / June / 4;
    BOOST_TEST((countMinutes(model, friday - 48h, friday + 72h) == 4h));
    BOOST_TEST(isOn(model, friday + 20h));
    BOOST_TEST(isOn(model, friday + 23h));
    BOOST_TEST(!isOn(model, friday + 24h));
}

// Guards against a large UTC offset that shifts the day of the week, and against whole-day peaks with gaps.
BOOST_AUTO_TEST_CASE(wholeDaysFollowLocalMidnight)
{
    const config_model model = modelOf("days = mon\n", "[zone z]\noffset = -11:00\n");
    const sys_days monday = 2027y / June / 7;
    BOOST_TEST((countMinutes(model, monday - 24h, monday + 72h) == 24h));
    BOOST_TEST(isOn(model, monday + 11h));
    BOOST_TEST(!isOn(model, monday + 10h));
}

// Guards against a clock change that has no effect if it is published late. The result depends only on the files and the time.
BOOST_AUTO_TEST_CASE(aLateClockChangeTakesEffectAtOnce)
{
    const std::string peak = "from = 08:00\nto = 09:00\n";
    config_model model = modelOf(peak, "[zone z]\noffset = +01:00\n");
    BOOST_TEST(isOn(model, Forward + 7h));
    BOOST_REQUIRE(!mergeFile("b", "[zone z]\n2027-03-28T01:00Z = +02:00\n", model));
    BOOST_TEST(!isOn(model, Forward + 7h));
    BOOST_TEST(isOn(model, Forward + 6h));
    BOOST_REQUIRE(!mergeFile("c", "[zone z]\n2027-03-28T01:00Z = none\n", model));
    BOOST_TEST(isOn(model, Forward + 7h));
}

// Guards against a peak that is active although its zone is undefined.
BOOST_AUTO_TEST_CASE(aPeakWithoutItsZoneIsNeverActive)
{
    const config_model model = modelOf("", "");
    BOOST_TEST((countMinutes(model, Forward, Forward + 24h) == 0min));
    BOOST_TEST(!nextRuleChange(model, Forward).has_value());
}

// Guards against overlapping peaks with an undefined result.
BOOST_AUTO_TEST_CASE(theLaterPeakWinsKeyByKey)
{
    config_model model;
    BOOST_REQUIRE(!mergeFile("a",
                             "[kind k]\n[kind l]\nweight = 2\n[peak p1]\nkinds = *\nweight = 5\nfloor = 0.25\n"
                             "[peak p2]\nkinds = k, none\nto = 12:00\nweight = 7\n",
                             model));
    const rule_set morning = effectiveRules(model, Forward + 6h, 1);
    BOOST_TEST(morning.kinds.at("k").weight == 7);
    BOOST_TEST(morning.kinds.at("k").floor == 0.25);
    BOOST_TEST(morning.kinds.at("l").weight == 5);
    BOOST_TEST(effectiveRules(model, Forward + 12h, 1).kinds.at("k").weight == 5);
    BOOST_TEST(!haveSameRules(morning, effectiveRules(model, Forward + 12h, 1)));
    BOOST_TEST(haveSameRules(morning, effectiveRules(model, Forward + 7h, 2)));
}

BOOST_AUTO_TEST_SUITE_END()
