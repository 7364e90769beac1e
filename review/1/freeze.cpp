// A frozen entry holds a request whose client gives up and sends the job again to another entry. The entry wakes while the task runs.
#include "../support/standins.h"

using namespace review;

namespace
{

constexpr milliseconds FreezeTime{4000};
constexpr milliseconds Deadline{1500}; // Deadline-Ms of the site's clients.
constexpr int WorkMs = 900; // Mean of the site's orders.
constexpr unsigned Jobs = 4;
constexpr unsigned Rounds = 3; // At most; the script ends after the first in which the rule is broken.

} // namespace

// Entry 1 freezes; clients that are still sent to it give up at their deadline and submit their jobs to entry 2. Returns the number
// of tasks of which two runs were at work at the same time, so far.
static int playRound(deployment &system, unsigned round, record &output)
{
    if (isTrouble()) {
        output.line("trouble: entry 1 freezes for " + std::to_string(FreezeTime.count()) + " ms");
        system.entry[0]->signal(SIGSTOP);
    }
    const auto frozenAt = steady::now();
    std::vector<std::thread> clients;
    for (unsigned i = 0; i < Jobs; ++i) {
        clients.emplace_back([&, i] {
            // Sent in the first second of the freeze, when the platform still forwards connections to the entry.
            std::this_thread::sleep_until(frozenAt + 700ms + i * 50ms);
            const std::string id = jobId(0xb00000 + round * 0x100 + i);
            reply got = submit(system, 0, id, jobBody(2, WorkMs), Deadline, output);
            for (int again = 0; again < 2 && (got.status == 0 || got.status == 502 || got.status == 504); ++again) {
                std::this_thread::sleep_for(Retransmit);
                got = submit(system, 1, id, jobBody(2, WorkMs), Deadline, output);
            }
        });
    }
    std::this_thread::sleep_until(frozenAt + FreezeTime);
    if (isTrouble()) {
        system.entry[0]->signal(SIGCONT);
        output.line("trouble: entry 1 goes on");
    }
    for (std::thread &one : clients) {
        one.join();
    }
    std::this_thread::sleep_for(5s);
    return countTwice(system.book, output);
}

int main()
{
    record output(std::getenv("RECORD") != nullptr ? std::getenv("RECORD") : "record.txt");
    int broken = 0;
    deployment &system = *new deployment(2, 4, output);
    if (!system.waitUntilServing()) {
        output.line("the deployment did not serve in time");
        finish(system, 2);
    }
    for (unsigned round = 0; round < Rounds && broken == 0; ++round) {
        broken = playRound(system, round, output);
    }
    output.line(broken > 0 ? "result: TWICE is broken" : "result: TWICE holds");
    finish(system, broken > 0 ? 1 : 0);
}
