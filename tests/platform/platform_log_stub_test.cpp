#include "platform/http_platform_log.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <csignal>
#include <cstdio>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(platform_log_stub_test)

// Guards against a demo or process test that connects to the stub before it listens, or leaves it running.
BOOST_AUTO_TEST_CASE(announcesItsAddressServesAndEndsOnSigterm)
{
    std::array<int, 2> ends{};
    BOOST_REQUIRE(::pipe(ends.data()) == 0);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addclose(&actions, ends[0]);
    std::string program = PLATFORM_LOG_STUB_BINARY;
    std::string listen = "--listen=127.0.0.1:0";
    std::array<char *, 3> argv = {program.data(), listen.data(), nullptr};
    pid_t child = 0;
    const int result = ::posix_spawn(&child, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    BOOST_REQUIRE(result == 0);
    FILE *out = ::fdopen(ends[0], "r");
    std::array<char, 64> address{};
    BOOST_TEST(std::fscanf(out, "listening %63s", address.data()) == 1);
    http_platform_log client({.url = "http://" + std::string(address.data())});
    std::uint64_t offset = 0;
    BOOST_TEST(!client.append("s", "x", 1s, offset));
    ::kill(child, SIGTERM);
    int status = 0;
    BOOST_REQUIRE(::waitpid(child, &status, 0) == child);
    BOOST_TEST(WIFEXITED(status));
    BOOST_TEST(WEXITSTATUS(status) == 0);
    std::fclose(out);
}

BOOST_AUTO_TEST_SUITE_END()
