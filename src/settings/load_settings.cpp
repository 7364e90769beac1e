#include "settings/load_settings.h"

#include "place/placement_strategies.h"
#include "settings/read_settings.h"
#include "settings/settings_tables.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <string_view>

namespace teaselward
{

namespace
{

// Minimum characters of a secret; a shorter one could be found by a brute-force search.
constexpr std::size_t MinSecretLength = 16;

constexpr std::string_view RoleKey = "process.role";

std::optional<std::string> readText(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

bool isLoopback(std::string_view address)
{
    return address.starts_with("127.") || address.starts_with("[::1]");
}

// Adds an error unless the condition holds. Used for checks that go beyond the format and range of one value.
template<typename Settings>
void require(bool condition, const settings_file &file, std::string_view key, std::string text, settings_result<Settings> &result)
{
    if (!condition) {
        result.errors.push_back(file.errorAt(key, std::move(text)));
    }
}

void checkConsistency(const settings_file &file, settings_result<entry_settings> &result)
{
    const entry_settings &settings = result.settings;
    require(settings.role == "entry", file, RoleKey, "must be entry", result);
    require(settings.ticketKey.size() >= MinSecretLength, file, "tickets.key", "must have at least 16 characters", result);
    require(settings.heartbeat * 2 <= settings.lease, file, "peers.heartbeat", "must be at most half of peers.lease", result);
    const bool isExposed = !settings.operatorsListen.empty() && !isLoopback(settings.operatorsListen);
    const auto strategies = placementStrategyNames();
    const bool isStrategy = std::ranges::find(strategies, settings.strategy) != strategies.end();
    require(isStrategy, file, "placement.strategy", "unknown strategy", result);
    const bool usesPlatform = !settings.platformStore.empty();
    require(usesPlatform == !settings.platformFront.empty() && usesPlatform == !settings.platformReadiness.empty(),
            file,
            "platform.store",
            "platform.store, platform.front and platform.readiness must be set together",
            result);
    require(usesPlatform || !settings.logUrl.empty(), file, "log.url", "missing", result);
    require(!isExposed || settings.operatorsToken.size() >= MinSecretLength,
            file,
            "operators.token",
            "must have at least 16 characters unless operators.listen is a loopback address",
            result);
}

void checkConsistency(const settings_file &file, settings_result<agent_settings> &result)
{
    const agent_settings &settings = result.settings;
    require(settings.role == "agent", file, RoleKey, "must be agent", result);
    require(settings.heartbeat * 2 <= settings.lease, file, "peers.heartbeat", "must be at most half of peers.lease", result);
    require(settings.kinds.empty() != settings.platformControl.empty(),
            file,
            "endpoint.kinds",
            "exactly one of endpoint.kinds and platform.control must be set",
            result);
    require(settings.slots <= settings.connections, file, "endpoint.slots", "must be at most endpoint.connections", result);
}

template<typename Settings>
settings_result<Settings> load(const std::string &path, std::span<const setting_spec<Settings>> table)
{
    const auto text = readText(path);
    if (!text) {
        settings_result<Settings> result;
        result.errors.push_back(settings_error{path, 0, "", "cannot be read"});
        return result;
    }
    const settings_file file(path, *text);
    auto result = readSettings<Settings>(file, table);
    if (!file.syntaxError()) {
        checkConsistency(file, result);
    }
    return result;
}

} // namespace

settings_result<entry_settings> loadEntrySettings(const std::string &path)
{
    return load<entry_settings>(path, entrySettingsTable());
}

settings_result<agent_settings> loadAgentSettings(const std::string &path)
{
    return load<agent_settings>(path, agentSettingsTable());
}

std::vector<settings_error> checkSettings(const std::string &path)
{
    const auto text = readText(path);
    if (text && settings_file(path, *text).value(RoleKey) == "agent") {
        return loadAgentSettings(path).errors;
    }
    return loadEntrySettings(path).errors;
}

} // namespace teaselward
