#include "settings/read_settings.h"

#include "config/config_merge.h"
#include "settings/load_settings.h"
#include "settings/settings_tables.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <unistd.h>

using namespace teaselward;

namespace
{

const std::string ValidEntry = "[process]\nrole = entry\nfailure_domain = fd-1\n"
                               "[callers]\nlisten = 127.0.0.1:8080\n"
                               "[peers]\nlisten = 127.0.0.1:7400\nlease = 2s\nheartbeat = 500ms\n"
                               "[tickets]\nkey = 0123456789abcdef\n"
                               "[log]\nurl = http://127.0.0.1:9100\n";

settings_result<entry_settings> read(const std::string &text)
{
    return readSettings<entry_settings>(settings_file("entry.ini", text), entrySettingsTable());
}

} // namespace

BOOST_AUTO_TEST_SUITE(read_settings_test)

// Guards against durations that are read in the wrong unit.
BOOST_AUTO_TEST_CASE(readsValuesWithTheirUnits)
{
    const auto result = read(ValidEntry);
    BOOST_TEST(result.errors.empty());
    BOOST_TEST((result.settings.lease == std::chrono::seconds(2)));
    BOOST_TEST((result.settings.heartbeat == std::chrono::milliseconds(500)));
}

// Guards against a misspelled key that is ignored without an error, so that the default applies.
BOOST_AUTO_TEST_CASE(namesFileLineAndKeyOfAnUnknownKey)
{
    const auto result = read(ValidEntry + "retention_time = 5\n");
    BOOST_REQUIRE(result.errors.size() == 1);
    BOOST_TEST(result.errors[0].file == "entry.ini");
    BOOST_TEST(result.errors[0].line == 14);
    BOOST_TEST(result.errors[0].key == "log.retention_time");
}

// Guards against a check that stops at the first error, so that operators need one attempt for each error.
BOOST_AUTO_TEST_CASE(reportsEveryErrorAtOnce)
{
    const auto result = read("[process]\nrole = entry\nfailure_domain = fd-1\n[callers]\nlisten = localhost\nbody_limit = 12\nidle_timeout = soon\n");
    // Three invalid values and two missing keys. Only checkSettings() reports that neither a log nor a platform store is set.
    BOOST_TEST(result.errors.size() == 5);
    const auto path = std::filesystem::temp_directory_path() / ("teaselward-no-log-" + std::to_string(::getpid()) + ".ini");
    std::ofstream(path) << "[process]\nrole = entry\nfailure_domain = fd-1\n[callers]\nlisten = localhost\nbody_limit = 12\nidle_timeout = soon\n";
    const auto errors = checkSettings(path.string());
    std::filesystem::remove(path);
    BOOST_TEST(std::ranges::count(errors, "log.url", &settings_error::key) == 1);
}

// Guards against a syntax error that is reported without its line, or together with errors that only follow from it.
BOOST_AUTO_TEST_CASE(reportsTheLineOfASyntaxError)
{
    const auto result = read("[process]\nrole = entry\nthis is no setting\n");
    BOOST_REQUIRE(result.errors.size() == 1);
    BOOST_TEST(result.errors[0].line == 3);
}

// Guards against an unknown strategy name that passes the check and later ends the process with an exception.
BOOST_AUTO_TEST_CASE(refusesAnUnknownStrategy)
{
    const auto path = std::filesystem::temp_directory_path() / ("teaselward-settings-" + std::to_string(::getpid()) + ".ini");
    std::ofstream(path) << ValidEntry << "[placement]\nstrategy = best\n";
    const auto errors = checkSettings(path.string());
    std::filesystem::remove(path);
    BOOST_REQUIRE(errors.size() == 1);
    BOOST_TEST(errors[0].key == "placement.strategy");
    BOOST_TEST(errors[0].line == 15);
}

// Guards against example configuration files that are no longer valid.
BOOST_AUTO_TEST_CASE(acceptsEveryExampleOfConfiguration)
{
    std::size_t count = 0;
    for (const auto &file : std::filesystem::recursive_directory_iterator(TEASELWARD_SOURCE_DIR "/examples")) {
        if (file.path().parent_path().filename() == "config") {
            std::ifstream stream(file.path());
            const std::string text(std::istreambuf_iterator<char>(stream), {});
            BOOST_TEST(!checkFile(file.path().filename().string(), text).has_value(), file.path().string());
            ++count;
        }
    }
    BOOST_TEST(count == 3);
}

// Guards against example settings files that are no longer valid.
BOOST_AUTO_TEST_CASE(acceptsEveryExample)
{
    for (const char *name : {"agence/entry.ini", "agence/agent.ini", "foundation/entry.ini", "foundation/agent.ini"}) {
        const auto errors = checkSettings(std::string(TEASELWARD_SOURCE_DIR "/examples/") + name);
        for (const auto &error : errors) {
            BOOST_ERROR(error.file << ":" << error.line << ": " << error.key << ": " << error.text);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
