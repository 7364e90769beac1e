#include "cli/config_command_sync.h"

#include "config/config_error.h"
#include "config/config_folder.h"
#include "config/sync_plan.h"
#include "config/sync_state.h"

#include <filesystem>
#include <iostream>
#include <optional>
#include <set>

namespace teaselward
{

namespace
{

// State of one synchronization of a folder.
struct folder_sync {
    config_publisher &publisher;
    std::filesystem::path folder;
    folder_texts texts;
    sync_state state;
};

config_command_exit exitStatusOf(std::error_code error)
{
    if (!error) {
        return config_command_exit::done;
    }
    if (error == config_error::conflict) {
        return config_command_exit::conflict;
    }
    if (error == config_error::invalid) {
        return config_command_exit::invalid;
    }
    if (error == config_error::logUnavailable) {
        return config_command_exit::logUnavailable;
    }
    return error == config_error::outcomeUnknown ? config_command_exit::outcomeUnknown : config_command_exit::failed;
}

std::string versionText(std::uint64_t version, const std::string &author)
{
    return version == 0 ? "the file is absent" : "version " + std::to_string(version) + " by " + author + " is current";
}

// Records the version of a file that the folder and the log have in common; a null content means that both lack the file.
void recordState(folder_sync &sync, const std::string &name, const std::string *content, std::uint64_t version)
{
    if (content == nullptr) {
        sync.state.erase(name);
    } else {
        sync.state[name] = {.version = version, .hash = contentHash(*content)};
    }
}

config_command_exit publishFile(folder_sync &sync, const std::string &name, const std::string *local)
{
    const auto known = sync.state.find(name);
    const std::uint64_t base = known == sync.state.end() ? 0 : known->second.version;
    const publish_result result = sync.publisher.publish(name, local == nullptr ? std::nullopt : std::optional(*local), base);
    if (!result.error) {
        recordState(sync, name, local, result.version);
    }
    return reportResult(name, result);
}

config_command_exit fetchFile(folder_sync &sync, const std::string &name, const config_file *remote)
{
    std::error_code error;
    if (remote == nullptr) {
        std::filesystem::remove(sync.folder / name, error);
    } else {
        error = writeTextFile(sync.folder / name, remote->content);
    }
    if (error) {
        std::cerr << name << ": " << error.message() << '\n';
        return config_command_exit::failed;
    }
    recordState(sync, name, remote == nullptr ? nullptr : &remote->content, remote == nullptr ? 0 : remote->version);
    std::cout << name << ": "
              << (remote == nullptr ? "removed from the folder" : "fetched version " + std::to_string(remote->version) + " by " + remote->author) << '\n';
    return config_command_exit::done;
}

// Drops the recorded state of files that the log has lost, as opposed to files that an operator removed. They are then published
// again instead of removed from the folder. A file is lost if the log has a gap, or if its newest offset is below the file's
// recorded version, which means that the log was recreated.
void forgetLostFiles(folder_sync &sync)
{
    const config_state &state = sync.publisher.state();
    const bool hasGap = sync.publisher.hasGap();
    std::erase_if(sync.state, [&](const auto &entry) {
        return !state.files().contains(entry.first) && (hasGap || state.offset() < entry.second.version);
    });
}

// Executes the planned action for one file. The remote file is copied, because publishing changes the publisher's files.
config_command_exit syncFile(folder_sync &sync, const std::string &name)
{
    const auto local = sync.texts.find(name);
    const auto known = sync.state.find(name);
    const auto &files = sync.publisher.state().files();
    const auto found = files.find(name);
    const std::optional<config_file> remote = found == files.end() ? std::nullopt : std::optional(found->second);
    const std::string *localText = local == sync.texts.end() ? nullptr : &local->second;
    const config_file *remoteFile = remote ? &*remote : nullptr;
    switch (planSync(localText, known == sync.state.end() ? nullptr : &known->second, remoteFile)) {
    case sync_action::none:
        break;
    case sync_action::recordVersion:
        recordState(sync, name, localText, remote ? remote->version : 0);
        break;
    case sync_action::publish:
        return publishFile(sync, name, localText);
    case sync_action::fetch:
        return fetchFile(sync, name, remoteFile);
    case sync_action::conflict:
        return reportResult(name,
                            {.error = config_error::conflict,
                             .version = remote ? remote->version : 0,
                             .author = remote ? remote->author : std::string(),
                             .problem = std::nullopt});
    }
    return config_command_exit::done;
}

// Reads the folder and the state that the last synchronization left there.
bool readFolderAndState(folder_sync &sync)
{
    if (const std::error_code error = readFolder(sync.folder, sync.texts)) {
        std::cerr << sync.folder.string() << ": " << error.message() << '\n';
        return false;
    }
    std::string text;
    const std::error_code error = readTextFile(sync.folder / SyncStateName, text);
    if (error == std::errc::no_such_file_or_directory) {
        return true;
    }
    const auto state = error ? std::nullopt : decodeSyncState(text);
    if (!state) {
        std::cerr << (sync.folder / SyncStateName).string() << ": " << (error ? error.message() : "malformed; remove it to compare without it") << '\n';
        return false;
    }
    sync.state = *state;
    return true;
}

} // namespace

config_command_exit reportResult(const std::string &file, const publish_result &result)
{
    if (!result.error) {
        std::cout << file << ": accepted, " << (result.version == 0 ? "removed" : "version " + std::to_string(result.version)) << '\n';
    } else if (result.problem) {
        std::cerr << "invalid: " << result.problem->text() << '\n';
    } else if (result.error == config_error::conflict) {
        std::cerr << file << ": conflict, " << versionText(result.version, result.author) << '\n';
    } else {
        std::cerr << file << ": " << result.error.message() << '\n';
    }
    return exitStatusOf(result.error);
}

config_command_exit syncFolder(config_publisher &publisher, const std::string &folder)
{
    folder_sync sync{.publisher = publisher, .folder = folder, .texts = {}, .state = {}};
    if (!readFolderAndState(sync)) {
        return config_command_exit::failed;
    }
    forgetLostFiles(sync);
    std::set<std::string> names;
    for (const auto &[name, text] : sync.texts) {
        names.insert(name);
    }
    for (const auto &[name, known] : sync.state) {
        names.insert(name);
    }
    for (const auto &[name, file] : publisher.state().files()) {
        names.insert(name);
    }
    auto exit = config_command_exit::done;
    for (const std::string &name : names) {
        const auto result = syncFile(sync, name);
        exit = exit == config_command_exit::done ? result : exit;
        if (result == config_command_exit::logUnavailable || result == config_command_exit::outcomeUnknown) {
            break; // Every further file would run into the same timeout.
        }
    }
    if (const std::error_code error = writeTextFile(sync.folder / SyncStateName, encodeSyncState(sync.state))) {
        std::cerr << (sync.folder / SyncStateName).string() << ": " << error.message() << '\n';
        exit = exit == config_command_exit::done ? config_command_exit::failed : exit;
    }
    return exit;
}

} // namespace teaselward
