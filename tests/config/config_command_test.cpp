#include "cli/config_command.h"
#include "config/config_folder.h"
#include "support/log_server.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

using namespace teaselward;

namespace
{

// Temporary folder, removed at the end of a test.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string name = std::filesystem::temp_directory_path() / "teaselward-XXXXXX";
        BOOST_REQUIRE(::mkdtemp(name.data()) != nullptr);
        m_path = name;
    }

    ~temporary_folder()
    {
        std::filesystem::remove_all(m_path);
    }

    std::string file(const std::string &name, const std::string &text) const
    {
        BOOST_REQUIRE(!writeTextFile(m_path / name, text));
        return m_path / name;
    }

    std::string text(const std::string &name) const
    {
        std::string content;
        BOOST_REQUIRE(!readTextFile(m_path / name, content));
        return content;
    }

    std::string path() const
    {
        return m_path;
    }

private:
    std::filesystem::path m_path;
};

// Exit status and output of one command.
struct command_result {
    int status = 0;
    std::string out;
    std::string err;
};

command_result runCommand(std::vector<std::string> words)
{
    words.insert(words.begin(), "config");
    std::vector<char *> argv;
    argv.reserve(words.size() + 1);
    for (std::string &word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    std::ostringstream out;
    std::ostringstream err;
    auto *oldOut = std::cout.rdbuf(out.rdbuf());
    auto *oldErr = std::cerr.rdbuf(err.rdbuf());
    const int status = runConfig(static_cast<int>(words.size()), argv.data());
    std::cout.rdbuf(oldOut);
    std::cerr.rdbuf(oldErr);
    return {.status = status, .out = out.str(), .err = err.str()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_command_test)

// Guards against a conflict that is not reported to the operator, or is reported without the current version.
BOOST_AUTO_TEST_CASE(putReportsTheVersionOrTheConflict)
{
    const log_server server;
    const temporary_folder folder;
    const std::string log = "--log=" + server.url();
    const std::string path = folder.file("a.ini", "[kind x]\n");
    BOOST_TEST(runCommand({"put", path, log, "--author=ann"}).out == "a.ini: accepted, version 1\n");
    const auto lost = runCommand({"put", path, log, "--author=bob", "--base=0"});
    BOOST_TEST(lost.status == 3);
    BOOST_TEST(lost.err == "a.ini: conflict, version 1 by ann is current\n");
    BOOST_TEST(runCommand({"list", log}).out == "a.ini version 1 by ann\n");
    BOOST_TEST(runCommand({"rm", "a.ini", log}).out == "a.ini: accepted, removed\n");
    BOOST_TEST(runCommand({"rm", "a.ini", log}).status == 1);
    BOOST_TEST(runCommand({"list", log}).out.empty());
}

// Guards against an invalid file that reaches the log, and against errors without a distinct exit status.
BOOST_AUTO_TEST_CASE(errorsHaveTheirOwnStatus)
{
    log_server server;
    const temporary_folder folder;
    const std::string log = "--log=" + server.url();
    const std::string path = folder.file("a.ini", "[kind x]\n\nweight = 0\n");
    const auto invalid = runCommand({"put", path, log});
    BOOST_TEST(invalid.status == 4);
    BOOST_TEST(invalid.err == "invalid: a.ini:3: weight: must be a number from 0.01 to 1000\n");
    BOOST_TEST(runCommand({"check", folder.path()}).status == 4);
    BOOST_TEST(runCommand({"put", folder.path() + "/none", log}).status == 1);
    BOOST_TEST(runCommand({"put", path}).status == 2);
    BOOST_TEST(runCommand({"drop", path}).status == 2);
    BOOST_TEST(runCommand({"--help"}).status == 0);
    server.setFaults({.isDown = true});
    const auto down = runCommand({"list", log});
    BOOST_TEST(down.status == 5);
    BOOST_TEST(down.err == "log_unavailable: the platform log does not answer\n");
}

// Guards against files that are merged in another order than by name, and against unreported references to undefined sections.
BOOST_AUTO_TEST_CASE(checkPrintsTheMergedResult)
{
    const temporary_folder folder;
    folder.file("20.ini", "[kind x]\nweight = 3\n");
    folder.file("10.ini", "[kind x]\nservice = s\nweight = 2\n");
    folder.file(".hidden", "broken");
    folder.file("10.ini~", "broken");
    const auto result = runCommand({"check", folder.path()});
    BOOST_TEST(result.status == 0);
    BOOST_TEST(result.out == "[kind x]\nservice = s\nweight = 3\n");
    BOOST_TEST(result.err == "note: kind x: there is no service s; the defaults apply\n");
}

// Guards against synchronized folders of two operators that undo each other's changes or never agree.
BOOST_AUTO_TEST_CASE(syncBringsFoldersIntoAgreement)
{
    const log_server server;
    const temporary_folder ann;
    const temporary_folder bob;
    const std::string log = "--log=" + server.url();
    ann.file("a.ini", "[kind x]\n");
    ann.file("b.ini", "[kind y]\n");
    BOOST_TEST(runCommand({"sync", ann.path(), log, "--author=ann"}).status == 0);
    BOOST_TEST(runCommand({"sync", bob.path(), log, "--author=bob"}).status == 0);
    BOOST_TEST(bob.text("a.ini") == "[kind x]\n");
    bob.file("a.ini", "[kind x]\nweight = 2\n");
    std::filesystem::remove(bob.path() + "/b.ini");
    BOOST_TEST(runCommand({"sync", bob.path(), log, "--author=bob"}).out == "a.ini: accepted, version 3\nb.ini: accepted, removed\n");
    ann.file("a.ini", "[kind x]\nweight = 5\n");
    const auto conflict = runCommand({"sync", ann.path(), log, "--author=ann"});
    BOOST_TEST(conflict.status == 3);
    BOOST_TEST(conflict.err == "a.ini: conflict, version 3 by bob is current\n");
    BOOST_TEST(conflict.out == "b.ini: removed from the folder\n");
    BOOST_TEST(ann.text("a.ini") == "[kind x]\nweight = 5\n");
    BOOST_TEST(runCommand({"sync", bob.path(), log}).out.empty());
}

// Guards against a log that has lost its records, after which synchronization would remove the files of the operators too.
BOOST_AUTO_TEST_CASE(syncPublishesAgainWhatTheLogHasLost)
{
    const temporary_folder folder;
    folder.file("a.ini", "[kind x]\n");
    folder.file("b.ini", "[kind y]\n");
    {
        log_server server;
        BOOST_TEST(runCommand({"sync", folder.path(), "--log=" + server.url()}).status == 0);
        server.log().dropBelow("teaselward-config", 2);
        BOOST_TEST(runCommand({"sync", folder.path(), "--log=" + server.url()}).out == "a.ini: accepted, version 3\n");
    }
    const log_server fresh;
    BOOST_TEST(runCommand({"sync", folder.path(), "--log=" + fresh.url()}).out == "a.ini: accepted, version 1\nb.ini: accepted, version 2\n");
    BOOST_TEST(folder.text("b.ini") == "[kind y]\n");
}

BOOST_AUTO_TEST_SUITE_END()
