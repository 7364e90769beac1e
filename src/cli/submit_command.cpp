#include "cli/submit_command.h"

#include "cli/flag_set.h"
#include "core/reason_text.h"
#include "http/curl_transport.h"
#include "http/submit_session.h"
#include "http/utf8.h"

#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <random>
#include <string>
#include <string_view>
#include <vector>

DEFINE_string(entry, "127.0.0.1:7000", "addresses of the entries as IP:PORT, separated by commas; the first is tried first");
DEFINE_string(team, "default", "team that the job is charged to");
DEFINE_string(kind, "", "kind of the job's tasks");
DEFINE_string(key, "", "identifier of the caller such as an order number; two jobs with one key run once");
DEFINE_uint32(time_limit_ms, 10000, "time until the deadline in milliseconds, retries included");

namespace teaselward
{

namespace
{

constexpr int Complete = 0;
constexpr int Failed = 1;
constexpr int UsageError = 2;
constexpr int NotRun = 3;
constexpr int OutcomeUnknown = 4;

constexpr std::array<std::string_view, 5> Flags = {"entry", "team", "kind", "key", "time_limit_ms"};

void printHelp(const flag_set &flags)
{
    std::cout << "usage: teaselward submit --kind=KIND [OPTIONS] [PAYLOAD...]\n\n"
                 "Submits one job with one task for each payload and prints the results. Without a payload argument,\n"
                 "each line of the standard input is a payload.\n\n";
    flags.describe(std::cout);
    std::cout << "\nexit status:\n"
                 "  0  complete: every task succeeded\n"
                 "  1  failed: at least one task failed, was cancelled or met its deadline\n"
                 "  2  the command line is wrong\n"
                 "  3  refused, not run: no task was started and none will be\n"
                 "  4  outcome unknown: tasks may have run; submit them again only if that does no harm\n";
}

std::vector<std::string> readLines(std::istream &in)
{
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) {
        lines.push_back(line);
    }
    return lines;
}

// Returns an error message; empty if the options are valid.
std::string checkOptions(const std::vector<std::string> &payloads)
{
    if (FLAGS_kind.empty()) {
        return "option --kind is missing";
    }
    if (FLAGS_time_limit_ms == 0) {
        return "option --time_limit_ms is zero";
    }
    if (payloads.empty()) {
        return "no payload given";
    }
    // The request is JSON; replacing an invalid byte would change the payload that the endpoint gets.
    if (!std::all_of(payloads.begin(), payloads.end(), &isUtf8) || !isUtf8(FLAGS_kind) || !isUtf8(FLAGS_team) || !isUtf8(FLAGS_key)) {
        return "payloads and names must be UTF-8";
    }
    return {};
}

int report(const job_answer &answer)
{
    if (answer.state == job_state::complete) {
        std::cout << "complete: " << answer.results.size() << " tasks\n";
        for (const std::string &result : answer.results) {
            std::cout << result << '\n';
        }
        return Complete;
    }
    std::cerr << (answer.state == job_state::refused ? "refused: " : "failed: ") << reasonText(answer.why) << (answer.notRun ? ", not run" : "") << '\n';
    if (answer.notRun) {
        return NotRun;
    }
    return answer.why == reason::outcomeUnknown ? OutcomeUnknown : Failed;
}

} // namespace

int runSubmit(int argc, char **argv)
{
    flag_set flags(Flags);
    std::string error = flags.parse(argc, argv);
    if (error.empty() && flags.wantsHelp()) {
        printHelp(flags);
        return Complete;
    }
    std::vector<std::string> payloads;
    if (error.empty()) {
        payloads = flags.arguments().empty() ? readLines(std::cin) : flags.arguments();
        error = checkOptions(payloads);
    }
    if (!error.empty()) {
        std::cerr << "teaselward submit: " << error << "\n'teaselward submit --help' lists the options.\n";
        return UsageError;
    }
    submit_settings settings;
    settings.entries = absl::StrSplit(FLAGS_entry, ',');
    settings.team = FLAGS_team;
    settings.kind = FLAGS_kind;
    settings.key = FLAGS_key;
    settings.timeLimit = std::chrono::milliseconds(FLAGS_time_limit_ms);
    settings.seed = std::random_device{}();
    curl_transport transport;
    return report(submit_session(settings, transport).run(payloads));
}

} // namespace teaselward
