#include "cli/load_command.h"

#include "cli/flag_set.h"
#include "cli/load_generator.h"

#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <array>
#include <iostream>
#include <string>
#include <string_view>
#include <system_error>

// Defined in submit_command.cpp, which uses the same flags.
DECLARE_string(entry);
DECLARE_string(team);
DECLARE_string(kind);
DECLARE_uint32(time_limit_ms);

DEFINE_double(rate, 10, "jobs per second");
DEFINE_uint32(seconds, 10, "duration of the arrivals in seconds, at most 300");
DEFINE_uint32(tasks_min, 1, "minimum number of tasks per job");
DEFINE_uint32(tasks_max, 1, "maximum number of tasks per job");
DEFINE_uint32(run_time_ms, 0, "median run time of a task in milliseconds, which is also its payload; 0 if run times are unknown");
DEFINE_double(run_time_sigma, 0.7, "standard deviation of the logarithm of the run times");
DEFINE_uint32(run_time_min_ms, 50, "shortest run time of a task");
DEFINE_uint32(run_time_max_ms, 5000, "longest run time of a task");
DEFINE_uint32(open_limit, 2000, "maximum number of jobs in progress; further arrivals are skipped and counted");
DEFINE_uint32(arrival_seed, 1, "seed of arrivals, task counts and run times");

namespace teaselward
{

namespace
{

constexpr int Ended = 0;
constexpr int NoTickets = 1;
constexpr int UsageError = 2;

// The tickets are taken before the run, so the run must end within their lifetime.
constexpr std::uint32_t MaxSeconds = 300;

// Limit of the jobs of a run, because their tickets are held in memory.
constexpr double MaxJobs = 200000;

constexpr std::uint32_t MaxOpenLimit = 10000;
constexpr std::uint32_t MaxTasks = 1000;

constexpr std::array<std::string_view, 14> Flags = {"entry",
                                                    "team",
                                                    "kind",
                                                    "time_limit_ms",
                                                    "rate",
                                                    "seconds",
                                                    "tasks_min",
                                                    "tasks_max",
                                                    "run_time_ms",
                                                    "run_time_sigma",
                                                    "run_time_min_ms",
                                                    "run_time_max_ms",
                                                    "open_limit",
                                                    "arrival_seed"};

void printHelp(const flag_set &flags)
{
    std::cout << "usage: teaselward load --kind=KIND [OPTIONS]\n\n"
                 "Sends jobs with Poisson arrivals, whether or not earlier ones are answered, and prints response times,\n"
                 "response times relative to the ideal (longest run time plus one round trip), refusals and goodput.\n\n";
    flags.describe(std::cout);
    std::cout << "\nexit status:\n"
                 "  0  the run has ended, also if jobs were refused, failed or lost\n"
                 "  1  an entry issues no tickets\n"
                 "  2  the command line is wrong\n";
}

// Returns an error message; empty if the options are valid.
std::string checkOptions(const flag_set &flags)
{
    if (!flags.arguments().empty()) {
        return "unexpected arguments";
    }
    if (FLAGS_kind.empty()) {
        return "option --kind is missing";
    }
    if (FLAGS_seconds == 0 || FLAGS_seconds > MaxSeconds) {
        return "option --seconds is not between 1 and " + std::to_string(MaxSeconds);
    }
    if (!(FLAGS_rate > 0) || FLAGS_rate * FLAGS_seconds > MaxJobs) {
        return "options --rate and --seconds give no jobs or too many";
    }
    if (FLAGS_tasks_min == 0 || FLAGS_tasks_min > FLAGS_tasks_max || FLAGS_tasks_max > MaxTasks) {
        return "options --tasks_min and --tasks_max are not a range between 1 and " + std::to_string(MaxTasks);
    }
    if (FLAGS_run_time_min_ms > FLAGS_run_time_max_ms || !(FLAGS_run_time_sigma >= 0)) {
        return "options --run_time_min_ms and --run_time_max_ms are not a range, or --run_time_sigma is negative";
    }
    if (FLAGS_open_limit == 0 || FLAGS_open_limit > MaxOpenLimit || FLAGS_time_limit_ms == 0) {
        return "option --open_limit or --time_limit_ms is out of range";
    }
    return {};
}

load_settings settingsOfFlags()
{
    load_settings settings;
    settings.entries = absl::StrSplit(FLAGS_entry, ',');
    settings.team = FLAGS_team;
    settings.kind = FLAGS_kind;
    settings.rate = FLAGS_rate;
    settings.duration = std::chrono::seconds(FLAGS_seconds);
    settings.tasksMin = FLAGS_tasks_min;
    settings.tasksMax = FLAGS_tasks_max;
    settings.runTimeMin = std::chrono::milliseconds(FLAGS_run_time_min_ms);
    settings.runTimeMedian = std::chrono::milliseconds(FLAGS_run_time_ms);
    settings.runTimeMax = std::chrono::milliseconds(FLAGS_run_time_max_ms);
    settings.runTimeSigma = FLAGS_run_time_sigma;
    settings.timeLimit = std::chrono::milliseconds(FLAGS_time_limit_ms);
    settings.openLimit = FLAGS_open_limit;
    settings.seed = FLAGS_arrival_seed;
    return settings;
}

} // namespace

int runLoad(int argc, char **argv)
{
    flag_set flags(Flags);
    std::string error = flags.parse(argc, argv);
    if (error.empty() && flags.wantsHelp()) {
        printHelp(flags);
        return Ended;
    }
    if (error.empty()) {
        error = checkOptions(flags);
    }
    if (!error.empty()) {
        std::cerr << "teaselward load: " << error << "\n'teaselward load --help' lists the options.\n";
        return UsageError;
    }
    try {
        load_generator generator(settingsOfFlags());
        if (!generator.takeTickets()) {
            std::cerr << "teaselward load: an entry issues no tickets\n";
            return NoTickets;
        }
        const auto elapsed = generator.run();
        generator.report().print(std::cout, elapsed);
    } catch (const std::system_error &failure) {
        std::cerr << "teaselward load: " << failure.what() << '\n';
        return NoTickets;
    }
    return Ended;
}

} // namespace teaselward
