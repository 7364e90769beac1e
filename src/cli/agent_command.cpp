#include "cli/agent_command.h"

#include "cli/command_flags.h"
#include "cli/exit_status.h"
#include "cli/print_errors.h"
#include "cli/reload_text.h"
#include "cli/run_until_stopped.h"
#include "cli/settings_path.h"
#include "proc/agent_process.h"
#include "proc/platform_agent_process.h"
#include "settings/load_settings.h"

#include <gflags/gflags.h>

#include <memory>

DECLARE_string(settings);

namespace teaselward
{

namespace
{

constexpr std::string_view Usage = "usage: teaselward agent [--settings=FILE]\n\n"
                                   "Without --settings, TEASELWARD_SETTINGS names the file.\n"
                                   "Runs an agent until SIGTERM, then announces that it leaves and finishes the tasks in progress.\n"
                                   "Exit status: 0 after a graceful shutdown, 2 usage, 3 bad settings.";

} // namespace

int runAgent(int argc, char **argv)
{
    if (const auto done = parseCommandFlags(argc, argv, Usage, {"settings"})) {
        return *done;
    }
    const auto loaded = loadAgentSettings(settingsPath(FLAGS_settings));
    if (!loaded.errors.empty()) {
        printErrors(loaded.errors);
        return exit_status::badSettings;
    }
    const agent_settings &settings = loaded.settings;
    const auto reload = [] {
        return reloadText(loadAgentSettings(settingsPath(FLAGS_settings)).errors);
    };
    if (!settings.platformControl.empty()) {
        return runUntilStopped("agent", settings.logDecisions, "agent of " + settings.endpointAddress, reload, [&](logger &log) {
            return std::make_unique<platform_agent_process>(settings, log);
        });
    }
    return runUntilStopped("agent", settings.logDecisions, "agent of " + settings.endpointAddress, reload, [&](logger &log) {
        return std::make_unique<agent_process>(settings, log);
    });
}

} // namespace teaselward
