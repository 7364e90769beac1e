#include "process/free_address.h"
#include "support/worker_client_host.h"
#include "support/worker_stub.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <string>
#include <thread>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t CpuMillis = 32000;
constexpr std::chrono::milliseconds LongTask = 5s;
constexpr int Rounds = 6;

// Orders tasks until some run and some connections to the worker are idle.
void fill(worker_client_host &client, const worker_stub &worker, std::uint32_t first)
{
    for (std::uint32_t index = first; index < first + 4; ++index) {
        client.order(index, LongTask);
    }
    for (int i = 0; i < 500 && worker.startedRunsOfThisLife() < 4; ++i) {
        std::this_thread::sleep_for(2ms);
    }
    BOOST_TEST_REQUIRE(worker.startedRunsOfThisLife() == 4U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(returned_worker_calls_test)

// Guards against a start for the former life of a worker that begins in its next life, while the agent reports it as ended with the former
// one and the home starts the task elsewhere.
BOOST_AUTO_TEST_CASE(aStartForTheFormerLifeBeginsNothingInTheNext)
{
    const std::string address = testing::freeAddress();
    worker_stub worker(address, "", CpuMillis);
    for (int round = 0; round < Rounds; ++round) {
        worker_client_host client(worker, address, 10 + static_cast<std::uint64_t>(round));
        BOOST_TEST_REQUIRE(client.waitUntilReady());
        fill(client, worker, 0);
        worker.crash();
        client.order(10, LongTask); // Sent through a connection of the former life.
        std::this_thread::sleep_for(std::chrono::milliseconds(10 * round));
        client.order(11, LongTask);
        worker.restart();
        client.order(12, LongTask);
        client.order(13, LongTask);
        BOOST_TEST(client.waitUntilLost());
        BOOST_TEST(worker.startedRunsOfThisLife() == 0U);
        BOOST_TEST(client.takeEnds().size() == 8U);
        std::this_thread::sleep_for(20ms);
        BOOST_TEST(worker.startedRunsOfThisLife() == 0U);
    }
}

// Guards against a lease on the clock of the former life of a worker that its next life takes for as long as the platform allows.
BOOST_AUTO_TEST_CASE(aListForTheFormerLifeExtendsNoLeaseOfTheNext)
{
    const std::string address = testing::freeAddress();
    worker_stub worker(address, "", CpuMillis);
    for (int round = 0; round < Rounds; ++round) {
        worker_client_host client(worker, address, 10 + static_cast<std::uint64_t>(round));
        BOOST_TEST_REQUIRE(client.waitUntilReady());
        fill(client, worker, 0);
        worker.crash();
        std::this_thread::sleep_for(std::chrono::milliseconds(10 * round));
        worker.restart();
        BOOST_TEST(client.waitUntilLost());
        BOOST_TEST(worker.leaseLeft().count() == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
