#include "deployment.h"

#include <iostream>

using namespace review3;

namespace
{

constexpr std::size_t Entries = 3;
constexpr std::size_t Workers = 6;
constexpr int Rounds = 12;

// The longest kind of task of the site.
constexpr int Tasks = 4;
constexpr int TaskMillis = 3400;
constexpr int CpuMillis = 3100;
constexpr milliseconds Deadline{1500};
constexpr milliseconds Retransmit{1300};

// Times of a round. The entry looks at the connections of its clients every 200 ms.
constexpr milliseconds ResetAfterLook{203};   ///< Just after the next look.
constexpr milliseconds FreezeAfterReset{188}; ///< Before the look that follows.
constexpr milliseconds KillAfterReset{722};
constexpr milliseconds FreezeLength{3500};
constexpr milliseconds KillLength{3000};

/** The disruptions that are played. */
struct disruptions {
    bool resets = true, freezes = true, kills = true;
};

/** One play of the case. */
class play
{
public:
    play(small_deployment &deployment, disruptions chosen)
        : system(deployment)
        , with(chosen)
    {
    }

    /** @return whether the round was played */
    bool round(std::size_t first, std::size_t second)
    {
        const std::string probe = system.newId();
        const std::string id = system.newId();
        const auto probeConnection = system.send(first, probe, 1, TaskMillis, CpuMillis, Deadline);
        const auto connection = system.send(first, id, Tasks, TaskMillis, CpuMillis, Deadline);
        const auto sentAt = clock::now();
        if (!waitForStarts(probe, 1) || !waitForStarts(id, Tasks)) {
            system.record.write("round left out: the tasks did not begin");
            return false;
        }
        if (!with.resets) {
            await(*connection, id, sentAt + Deadline + milliseconds(300));
            std::this_thread::sleep_for(Retransmit);
            await(*system.send(second, id, Tasks, TaskMillis, CpuMillis, Deadline), id, clock::now() + Deadline + milliseconds(300));
            return true;
        }
        const auto probeReset = reset(*probeConnection, probe);
        const auto look = awaitStop(probe);
        if (!look) {
            system.record.write("round left out: the run of the first client was not stopped");
            return false;
        }
        std::this_thread::sleep_until(*look + ResetAfterLook);
        const auto jobReset = reset(*connection, id);
        if (with.freezes) {
            std::this_thread::sleep_until(jobReset + FreezeAfterReset);
            system.entries[first]->signal(SIGSTOP);
            system.record.write("entry " + std::to_string(first) + " freezes");
        }
        std::optional<std::size_t> killed;
        if (with.kills) {
            std::this_thread::sleep_until(jobReset + KillAfterReset);
            killed = busiest(id);
            if (killed) {
                system.agents[*killed]->kill();
                system.record.write("agent " + std::to_string(*killed) + " is killed");
            }
        }
        std::this_thread::sleep_until(probeReset + Retransmit);
        const auto probeAgain = system.send(second, probe, 1, TaskMillis, CpuMillis, Deadline);
        std::this_thread::sleep_until(jobReset + Retransmit);
        const auto again = system.send(second, id, Tasks, TaskMillis, CpuMillis, Deadline);
        await(*again, id, clock::now() + Deadline + milliseconds(300));
        if (with.freezes) {
            std::this_thread::sleep_until(jobReset + FreezeAfterReset + FreezeLength);
            system.entries[first]->signal(SIGCONT);
            system.record.write("entry " + std::to_string(first) + " goes on");
        }
        if (killed) {
            std::this_thread::sleep_until(jobReset + KillAfterReset + KillLength);
            system.agents[*killed]->start();
            system.record.write("agent " + std::to_string(*killed) + " starts");
        }
        return true;
    }

    int responses = 0;

private:
    clock::time_point reset(client_connection &connection, const std::string &id)
    {
        connection.reset();
        const auto at = clock::now();
        system.record.write("the connection of " + id + " is reset");
        return at;
    }

    void await(const client_connection &connection, const std::string &id, clock::time_point until)
    {
        std::string body;
        const int status = connection.wait(until, body);
        responses += status != 0 ? 1 : 0;
        system.record.write("client gets " + std::to_string(status) + " for " + id + " " + body);
    }

    bool waitForStarts(const std::string &id, std::size_t tasks) const
    {
        const auto until = clock::now() + milliseconds(500);
        while (system.runsOf(id).size() < tasks) {
            if (clock::now() > until) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(2));
        }
        return true;
    }

    /** @return when the run of a job was stopped, which is just after its entry has looked at its connections */
    std::optional<clock::time_point> awaitStop(const std::string &id) const
    {
        const auto until = clock::now() + milliseconds(400);
        while (clock::now() < until) {
            const std::vector<run_span> runs = system.runsOf(id);
            if (!runs.empty() && runs.front().isOver) {
                return runs.front().to;
            }
            std::this_thread::sleep_for(milliseconds(1));
        }
        return std::nullopt;
    }

    /** @return the worker with the most runs of a job */
    std::optional<std::size_t> busiest(const std::string &id) const
    {
        std::map<std::size_t, int> counts;
        for (const run_span &span : system.runsOf(id)) {
            counts[system.workerOf(span)] += span.isOver ? 0 : 1;
        }
        std::optional<std::size_t> found;
        for (const auto &[at, count] : counts) {
            if (count > 0 && (!found || count > counts[*found])) {
                found = at;
            }
        }
        return found;
    }

    small_deployment &system;
    const disruptions with;
};

} // namespace

// The connection of a client is reset; its entry freezes before it looks at its connections again; an agent that runs tasks of the job is killed
// before it gives the entry up. The client sends its job again 1300 ms after the reset. Counts tasks that run at two workers at the same time.
// TROUBLE=0: no disruption. WITHOUT=freeze or WITHOUT=kill leaves one of them out. ALL_ROUNDS=1 goes on after the rule was broken.
int main(int argc, char **argv)
{
    if (argc < 3) {
        return 2;
    }
    const auto setting = [](const char *name) {
        const char *value = std::getenv(name);
        return std::string(value != nullptr ? value : "");
    };
    disruptions chosen;
    chosen.resets = setting("TROUBLE") != "0";
    chosen.freezes = chosen.resets && setting("WITHOUT") != "freeze";
    chosen.kills = chosen.resets && setting("WITHOUT") != "kill";
    recorder record(argv[2]);
    try {
        std::signal(SIGPIPE, SIG_IGN);
        small_deployment system(argv[1], Entries, Workers, 32000, record);
        system.start(configText(1, {{"check", "register"}}), "check");
        play one(system, chosen);
        int played = 0;
        int broken = 0;
        int overlaps = 0;
        for (int i = 0; i < Rounds; ++i) {
            const std::size_t first = static_cast<std::size_t>(i) % Entries;
            played += one.round(first, (first + 1) % Entries) ? 1 : 0;
            std::this_thread::sleep_for(milliseconds(2500));
            const int found = countOverlaps(system.runs, record);
            broken += found > overlaps ? 1 : 0;
            overlaps = found;
            if (overlaps > 0 && setting("ALL_ROUNDS") != "1") {
                break;
            }
        }
        const std::string summary = "rounds: " + std::to_string(played) + "; rounds with two runs of a task at the same time: " + std::to_string(broken)
                                    + "; such pairs of runs: " + std::to_string(overlaps) + "; responses: " + std::to_string(one.responses);
        record.write(summary);
        std::cout << summary << std::endl;
        return overlaps > 0 ? 1 : played == 0 || one.responses == 0 ? 2 : 0;
    } catch (const std::exception &error) {
        record.write(std::string("cannot run: ") + error.what());
        std::cerr << error.what() << '\n';
        return 2;
    }
}
