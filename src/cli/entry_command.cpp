#include "cli/entry_command.h"

#include "cli/command_flags.h"
#include "cli/exit_status.h"
#include "cli/print_errors.h"
#include "cli/reload_text.h"
#include "cli/run_until_stopped.h"
#include "cli/settings_path.h"
#include "platform/http_platform_log.h"
#include "proc/entry_process.h"
#include "settings/load_settings.h"

#include <gflags/gflags.h>

#include <memory>

DEFINE_string(settings, "", "INI file with the settings of the process");

namespace teaselward
{

namespace
{

constexpr std::string_view Usage = "usage: teaselward entry [--settings=FILE]\n\n"
                                   "Without --settings, TEASELWARD_SETTINGS names the file.\n"
                                   "Runs an entry until SIGTERM, then drains.\n"
                                   "Exit status: 0 after a graceful shutdown, 1 a listener cannot be opened, 2 usage, 3 bad settings.";

} // namespace

int runEntry(int argc, char **argv)
{
    if (const auto done = parseCommandFlags(argc, argv, Usage, {"settings"})) {
        return *done;
    }
    const auto loaded = loadEntrySettings(settingsPath(FLAGS_settings));
    if (!loaded.errors.empty()) {
        printErrors(loaded.errors);
        return exit_status::badSettings;
    }
    const entry_settings &settings = loaded.settings;
    const auto reload = [] {
        return reloadText(loadEntrySettings(settingsPath(FLAGS_settings)).errors);
    };
    http_platform_log platform({.url = settings.platformStore.empty() ? settings.logUrl : "http://" + settings.platformStore});
    return runUntilStopped("entry", settings.logDecisions, "entry listening " + settings.callersListen, reload, [&](logger &log) {
        return std::make_unique<entry_process>(settings, platform, log);
    });
}

} // namespace teaselward
