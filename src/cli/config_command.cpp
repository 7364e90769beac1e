#include "cli/config_command.h"

#include "cli/config_command_exit.h"
#include "cli/config_command_sync.h"
#include "config/config_error.h"
#include "config/config_folder.h"
#include "config/config_merge.h"
#include "config/config_print.h"
#include "config/config_publisher.h"
#include "platform/http_platform_log.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

DEFINE_string(log, "", "base address of the platform log, for example http://10.0.0.5:7400");
DEFINE_string(stream, "teaselward-config", "stream of the configuration");
DEFINE_string(author, "", "name of the operator; the login name if empty");
DEFINE_int64(base, -1, "version that put and rm replace; -1 for the current one, 0 if the file must be absent");

namespace teaselward
{

namespace
{

using arguments = std::vector<std::string>;

struct config_action {
    std::string_view name;
    std::string_view operand;
    std::string_view summary;
    std::size_t minOperands;
    std::size_t maxOperands;
    bool usesLog;
    config_command_exit (*run)(config_publisher *publisher, const arguments &operands);
};

std::optional<std::uint64_t> baseVersion()
{
    return FLAGS_base < 0 ? std::nullopt : std::optional<std::uint64_t>(FLAGS_base);
}

// Publishes a local file under its own name, or under the second operand if there is one.
config_command_exit runPut(config_publisher *publisher, const arguments &operands)
{
    const std::filesystem::path path(operands[0]);
    std::string text;
    if (const std::error_code error = readTextFile(path, text)) {
        std::cerr << path.string() << ": " << error.message() << '\n';
        return config_command_exit::failed;
    }
    const std::string name = operands.size() > 1 ? operands[1] : path.filename().string();
    return reportResult(name, publisher->publish(name, std::move(text), baseVersion()));
}

config_command_exit runRemove(config_publisher *publisher, const arguments &operands)
{
    return reportResult(operands[0], publisher->publish(operands[0], std::nullopt, baseVersion()));
}

config_command_exit runList(config_publisher *publisher, const arguments & /*operands*/)
{
    for (const auto &[name, file] : publisher->state().files()) {
        std::cout << name << " version " << file.version << " by " << file.author << '\n';
    }
    return config_command_exit::done;
}

config_command_exit runSync(config_publisher *publisher, const arguments &operands)
{
    return syncFolder(*publisher, operands[0]);
}

// Checks every file of a folder and prints the merged result if all are valid.
config_command_exit runCheck(config_publisher * /*publisher*/, const arguments &operands)
{
    folder_texts texts;
    if (const std::error_code error = readFolder(operands[0], texts)) {
        std::cerr << operands[0] << ": " << error.message() << '\n';
        return config_command_exit::failed;
    }
    config_files files;
    bool isValid = true;
    for (const auto &[name, text] : texts) {
        if (const auto problem = checkFile(name, text)) {
            std::cerr << "invalid: " << problem->text() << '\n';
            isValid = false;
        }
        files[name] = {.content = text, .version = 0, .author = {}};
    }
    if (!isValid) {
        return config_command_exit::invalid;
    }
    const config_model model = mergeFiles(files);
    std::cout << printModel(model);
    for (const std::string &line : danglingReferences(model)) {
        std::cerr << "note: " << line << '\n';
    }
    return config_command_exit::done;
}

constexpr std::array Actions = {
    config_action{"put", "FILE [NAME]", "publish a local file, under NAME if given", 1, 2, true, &runPut},
    config_action{"rm", "NAME", "remove a file", 1, 1, true, &runRemove},
    config_action{"list", "", "print the files with their versions and authors", 0, 0, true, &runList},
    config_action{"sync", "DIR", "publish what was edited in DIR, fetch what others changed", 1, 1, true, &runSync},
    config_action{"check", "DIR", "check the files of DIR and print the merged result", 1, 1, false, &runCheck},
};

void printHelp(std::ostream &out)
{
    out << "usage: teaselward config ACTION [OPTIONS] [OPERANDS]\n\nactions:\n";
    for (const config_action &action : Actions) {
        const std::string left = std::string(action.name) + ' ' + std::string(action.operand);
        out << "  " << left << std::string(18 - left.size(), ' ') << action.summary << '\n';
    }
    out << "\noptions:\n";
    for (const char *name : {"log", "stream", "author", "base"}) {
        const auto flag = gflags::GetCommandLineFlagInfoOrDie(name);
        out << "  --" << name << '=' << std::string(15 - flag.name.size(), ' ') << flag.description << " (" << flag.default_value << ")\n";
    }
    out << "\nexit status:\n"
           "  0  done; the change is in force once every process has read it, within seconds\n"
           "  1  a local file cannot be read or written, there is no such file, or the log rejects the request\n"
           "  2  wrong usage\n"
           "  3  conflict: the file has another version than the base\n"
           "  4  invalid: a file breaks the format or a range; nothing was changed\n"
           "  5  log_unavailable: the platform log does not answer; nothing was changed\n"
           "  6  outcome_unknown: the change may have been published; look with 'list'\n";
}

// Returns the operator's name. It is never empty, so that 'list' shows an author for every file.
std::string authorName()
{
    const char *login = std::getenv("USER");
    const std::string fallback = login == nullptr || *login == '\0' ? "unknown" : login;
    return FLAGS_author.empty() ? fallback : FLAGS_author;
}

config_command_exit runWithLog(const config_action &action, const arguments &operands)
{
    if (FLAGS_log.empty()) {
        std::cerr << "teaselward config " << action.name << ": --log is missing\n";
        return config_command_exit::usage;
    }
    http_platform_log platform({.url = FLAGS_log});
    config_publisher_settings settings;
    settings.stream = FLAGS_stream;
    settings.author = authorName();
    config_publisher publisher(settings, platform);
    if (const std::error_code error = publisher.load()) {
        std::cerr << error.message() << '\n';
        return error == config_error::logUnavailable ? config_command_exit::logUnavailable : config_command_exit::failed;
    }
    if (publisher.hasGap()) {
        std::cerr << "note: the log has dropped changes that no snapshot covers; the list may lack files\n";
    }
    return action.run(&publisher, operands);
}

} // namespace

// Options are accepted before and after the operands. The flags are restored at the end, so that tests can call this repeatedly.
int runConfig(int argc, char **argv)
{
    const gflags::FlagSaver saver;
    const std::vector<std::string_view> words(argv, argv + argc);
    if (std::find(words.begin(), words.end(), "--help") != words.end()) {
        printHelp(std::cout);
        return static_cast<int>(config_command_exit::done);
    }
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    const std::string_view name = argc > 1 ? argv[1] : "";
    const auto action = std::find_if(Actions.begin(), Actions.end(), [name](const config_action &entry) {
        return entry.name == name;
    });
    const arguments operands(argv + std::min(argc, 2), argv + argc);
    if (action == Actions.end() || operands.size() < action->minOperands || operands.size() > action->maxOperands) {
        printHelp(std::cerr);
        return static_cast<int>(config_command_exit::usage);
    }
    return static_cast<int>(action->usesLog ? runWithLog(*action, operands) : action->run(nullptr, operands));
}

} // namespace teaselward
